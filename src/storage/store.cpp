#include "storage/store.hpp"

#include <system_error>
#include <utility>

#include "storage/storage_errors.hpp"
#include "storage/store_directory.hpp"
#include "storage/store_state.hpp"

namespace beechpoint::storage {

namespace fs = std::filesystem;

namespace {

// Moves the store that failed its checks aside and makes an empty one.
Result<void> replaceLostStore(const fs::path& directory, StoreState& state) {
    Result<void> aside = moveStoreAside(directory);
    if (!aside) return aside;
    const Result<StoreState::Loaded> loaded = state.load();
    if (!loaded) return loaded.error();
    const std::optional<std::string>& fault = loaded.value().fault;
    if (fault) return Error{ErrorKind::storage, directory.string(), *fault, "check the disk"};
    return boost::outcome_v2::success();
}

}  // namespace

Store::Store(std::unique_ptr<StoreState> state) : state_(std::move(state)) {}
Store::Store(Store&&) noexcept = default;
Store& Store::operator=(Store&&) noexcept = default;
Store::~Store() = default;

Result<Opened> Store::open(const fs::path& directory, std::size_t mapBytes) {
    std::error_code code;
    const fs::path absolute = fs::absolute(directory, code).lexically_normal();
    if (code) return storageError(directory, code);
    const Result<void> made = makeDirectory(absolute);
    if (!made) return made.error();
    auto state = std::make_unique<StoreState>(absolute, mapBytes);
    Result<StoreState::Loaded> loaded = state->load();
    if (!loaded) return std::move(loaded).error();
    if (!loaded.value().fault) {
        state->setWritten(!loaded.value().contents.fresh);
        return Opened{Store(std::move(state)), std::move(loaded).value().contents};
    }
    const Result<void> replaced = replaceLostStore(absolute, *state);
    if (!replaced) return replaced.error();
    Contents empty;
    empty.fresh = true;
    empty.lost = true;
    empty.lossReason = *loaded.value().fault;
    return Opened{Store(std::move(state)), std::move(empty)};
}

Result<void> Store::write(const Update& update) { return state_->write(update); }

}  // namespace beechpoint::storage
