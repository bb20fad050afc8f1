#include "storage/store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "storage/environment.hpp"
#include "storage/page_check.hpp"

namespace beechpoint::storage {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMapStep = 64u << 10;  // maps are whole multiples of each page size in use
constexpr std::size_t kMostReserve = 1u << 20;
constexpr std::size_t kSmallUpdate = 16u << 10;

const char* remedyFor(int code) {
    switch (code) {
        case MDB_MAP_FULL:
            return "remove entries, or give the store more room";
        case ENOSPC:
            return "free the disk; the write can be tried again";
        case MDB_PANIC:
            return "try again: the store is opened anew first";
        default:
            return "check the disk; the write can be tried again";
    }
}

Error failure(const fs::path& where, int code) {
    return {ErrorKind::storage, where.string(), mdb_strerror(code), remedyFor(code)};
}

Error failure(const fs::path& where, const std::error_code& code) {
    return {ErrorKind::storage, where.string(), code.message(),
            "check the disk and the directory's permissions"};
}

// Codes that tell of what the file holds, not of what the disk refuses.
bool meansDamage(int code) {
    return code == MDB_INVALID || code == MDB_CORRUPTED || code == MDB_PAGE_NOTFOUND ||
           code == MDB_VERSION_MISMATCH || code == MDB_INCOMPATIBLE;
}

Result<void> syncFolder(const fs::path& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
    const int code = errno;
    if (descriptor >= 0) ::close(descriptor);
    if (!synced) return failure(folder, code);
    return boost::outcome_v2::success();
}

// Makes the folder and those above it that are missing, each name durable before the next is made.
Result<void> makeFolder(const fs::path& folder) {
    std::error_code code;
    if (fs::is_directory(folder, code)) return boost::outcome_v2::success();
    const fs::path parent = folder.parent_path();
    if (parent != folder && !parent.empty()) {
        Result<void> made = makeFolder(parent);
        if (!made) return made;
    }
    fs::create_directory(folder, code);
    if (code) return failure(folder, code);
    return syncFolder(parent);
}

Result<void> moveAside(const fs::path& directory) {
    const fs::path file = directory / kDataFile;
    std::error_code code;
    const std::uintmax_t size = fs::file_size(file, code);
    if (!code && size <= kMaxAsideBytes)
        fs::rename(file, directory / kAsideName, code);
    else
        fs::remove(file, code);
    if (code) fs::remove(file, code);
    if (code) return failure(file, code);
    return syncFolder(directory);
}

std::size_t bytesPut(const Update& update) {
    std::size_t bytes = 0;
    const auto add = [&bytes](const std::vector<Change>& changes) {
        for (const Change& change : changes) bytes += change.key.size() + change.value.value_or("").size();
    };
    if (update.fold) add(update.fold->changes);
    if (update.pending) add(update.pending->changes);
    if (update.snapshot)
        for (const auto& [key, value] : update.snapshot->table) bytes += key.size() + value.size();
    return bytes + update.view.value_or("").size() + update.vote.value_or("").size();
}

}  // namespace

struct Store::State {
    State(fs::path where, std::size_t mapBytes)
        : directory(std::move(where)),
          wholeMap(std::max(mapBytes / kMapStep, std::size_t{2}) * kMapStep),
          map(wholeMap -
              std::max(std::min(wholeMap / 8, kMostReserve) / kMapStep, std::size_t{1}) * kMapStep) {}

    struct Attempt {
        std::optional<std::string> fault;
        Contents contents;
    };
    // Opens the environment and loads it with all checks. With a fault it is closed again.
    Result<Attempt> attempt();
    Result<void> reopen();
    int commit(const Update& update);

    fs::path directory;
    std::size_t wholeMap;
    std::size_t map;       // grows to wholeMap when small updates need it
    bool written = false;  // there are records
    Environment environment;
};

Result<Store::State::Attempt> Store::State::attempt() {
    const fs::path file = directory / kDataFile;
    std::error_code code;
    const std::uintmax_t size = fs::file_size(file, code);
    const bool exists = !code && size > 0;
    if (code && code != std::errc::no_such_file_or_directory) return failure(file, code);
    if (exists) {
        Result<std::optional<std::string>> fault = findPageFault(file);
        if (!fault) return std::move(fault).error();
        if (fault.value()) return Attempt{fault.value(), {}};
    }
    Attempt attempt;
    int error = environment.open(directory, map);
    if (error == 0) {
        Environment::Loaded loaded = environment.load(attempt.contents);
        error = loaded.error;
        attempt.fault = std::move(loaded.fault);
    }
    if (meansDamage(error)) attempt.fault = mdb_strerror(error);
    if (attempt.fault || error != 0) environment.close();
    if (attempt.fault) return attempt;
    if (error != 0) return failure(file, error);
    // Also when it was there: what a killed process left may be in the system's cache only.
    if (error = environment.sync(); error != 0) {
        environment.close();
        return failure(file, error);
    }
    if (!exists) {
        const Result<void> synced = syncFolder(directory);
        if (!synced) return synced.error();
    }
    return attempt;
}

Result<void> Store::State::reopen() {
    environment.close();
    Result<Attempt> again = attempt();
    if (!again) return std::move(again).error();
    std::optional<std::string> fault = std::move(again.value().fault);
    if (!fault && written && again.value().contents.fresh) fault = "the store's file is gone";
    if (!fault) return boost::outcome_v2::success();
    environment.close();
    return Error{ErrorKind::storage, directory.string(), *fault,
                 "restart the process: it will take the store as lost"};
}

int Store::State::commit(const Update& update) {
    int error = environment.commit(update);
    if (error == MDB_MAP_FULL && map < wholeMap && bytesPut(update) <= kSmallUpdate) {
        map = wholeMap;
        error = environment.resizeMap(map);
        if (error == 0) error = environment.commit(update);
    }
    return error;
}

Store::Store(std::unique_ptr<State> state) : state_(std::move(state)) {}
Store::Store(Store&&) noexcept = default;
Store& Store::operator=(Store&&) noexcept = default;
Store::~Store() = default;

Result<Opened> Store::open(const fs::path& directory, std::size_t mapBytes) {
    std::error_code code;
    const fs::path whole = fs::absolute(directory, code).lexically_normal();
    if (code) return failure(directory, code);
    Result<void> made = makeFolder(whole);
    if (!made) return std::move(made).error();
    auto state = std::make_unique<State>(whole, mapBytes);
    Result<State::Attempt> first = state->attempt();
    if (!first) return std::move(first).error();
    state->written = !first.value().contents.fresh;
    if (!first.value().fault) return Opened{Store(std::move(state)), std::move(first.value().contents)};

    Result<void> aside = moveAside(whole);
    if (!aside) return std::move(aside).error();
    Result<State::Attempt> second = state->attempt();
    if (!second) return std::move(second).error();
    if (second.value().fault)
        return Error{ErrorKind::storage, whole.string(), *second.value().fault, "check the disk"};
    state->written = false;
    Contents empty;
    empty.fresh = true;
    empty.lost = true;
    empty.lossReason = *first.value().fault;
    return Opened{Store(std::move(state)), std::move(empty)};
}

Result<void> Store::write(const Update& update) {
    if (!state_->environment.isOpen()) {
        Result<void> opened = state_->reopen();
        if (!opened) return opened;
    }
    int error = state_->commit(update);
    if (error == MDB_PANIC) {  // an earlier failure within a commit; nothing of this update is there
        Result<void> opened = state_->reopen();
        if (!opened) return opened;
        error = state_->commit(update);
    }
    if (error == 0) state_->written = true;
    if (error == 0 && update.forceSync) error = state_->environment.sync();
    if (error == 0) return boost::outcome_v2::success();
    // What the environment holds in memory may no longer be what the file holds: it is opened anew, with all checks,
    // before the next write. A full map leaves both as they were.
    if (error != MDB_MAP_FULL) state_->environment.close();
    return failure(state_->directory, error);
}

}  // namespace beechpoint::storage
