#include "storage/store_state.hpp"

#include <algorithm>
#include <cstdint>
#include <system_error>
#include <utility>
#include <vector>

#include "storage/page_check.hpp"
#include "storage/storage_errors.hpp"
#include "storage/store_directory.hpp"

namespace beechpoint::storage {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMapStep = 64u << 10;  // maps are multiples of each page size in use
constexpr std::size_t kMinMapSteps = 2;
constexpr std::size_t kMaxReserveBytes = 1u << 20;
constexpr std::size_t kReservePart = 8;  // one part in so many of the map is for small updates only
constexpr std::size_t kMaxSmallUpdateBytes = 16u << 10;

std::size_t roundedMapBytes(std::size_t mapBytes) {
    return std::max(mapBytes / kMapStep, kMinMapSteps) * kMapStep;
}

std::size_t reserveBytes(std::size_t fullMapBytes) {
    const std::size_t bytes = std::min(fullMapBytes / kReservePart, kMaxReserveBytes);
    return std::max(bytes / kMapStep, std::size_t{1}) * kMapStep;
}

std::size_t bytesOf(const std::vector<Change>& changes) {
    std::size_t bytes = 0;
    for (const Change& change : changes) bytes += change.key.size() + change.value.value_or("").size();
    return bytes;
}

std::size_t bytesWritten(const Update& update) {
    std::size_t bytes = update.view.value_or("").size() + update.vote.value_or("").size();
    if (update.fold) bytes += bytesOf(update.fold->changes);
    if (update.pending) bytes += bytesOf(update.pending->changes);
    if (update.snapshot)
        for (const auto& [key, value] : update.snapshot->table) bytes += key.size() + value.size();
    return bytes;
}

}  // namespace

StoreState::StoreState(fs::path directory, std::size_t mapBytes)
    : directory_(std::move(directory)),
      fullMapBytes_(roundedMapBytes(mapBytes)),
      mapBytes_(fullMapBytes_ - reserveBytes(fullMapBytes_)) {}

Result<StoreState::Loaded> StoreState::load() {
    const fs::path file = directory_ / kDataFile;
    const Result<bool> exists = fileHasBytes(file);
    if (!exists) return exists.error();
    if (exists.value()) {
        // Before LMDB maps the file: it trusts the pages' numbers.
        Result<std::optional<std::string>> fault = findPageFault(file);
        if (!fault) return std::move(fault).error();
        if (fault.value()) return Loaded{std::move(fault).value(), {}};
    }
    Loaded loaded;
    const int error = openAndLoad(loaded);
    if (loaded.fault) return Loaded{std::move(loaded.fault), {}};
    if (error != 0) return storageError(file, error);
    const Result<void> durable = makeDurable(file, !exists.value());
    if (!durable) return durable.error();
    return loaded;
}

Result<bool> StoreState::fileHasBytes(const fs::path& file) const {
    std::error_code code;
    const std::uintmax_t size = fs::file_size(file, code);
    if (code == std::errc::no_such_file_or_directory) return false;
    if (code) return storageError(file, code);
    return size > 0;
}

// LMDB's error code. Leaves the environment open only without an error and without a fault.
int StoreState::openAndLoad(Loaded& loaded) {
    int error = environment_.open(directory_, mapBytes_);
    if (error == 0) {
        Environment::Loaded read = environment_.load(loaded.contents);
        error = read.error;
        loaded.fault = std::move(read.fault);
    }
    if (meansDamage(error)) loaded.fault = mdb_strerror(error);
    if (loaded.fault || error != 0) environment_.close();
    return error;
}

// Also for a file that was there: what a killed process left may be in the system's cache only.
Result<void> StoreState::makeDurable(const fs::path& file, bool isNew) {
    if (const int error = environment_.sync(); error != 0) {
        environment_.close();
        return storageError(file, error);
    }
    if (isNew) return syncDirectory(directory_);
    return boost::outcome_v2::success();
}

Result<void> StoreState::reopen() {
    environment_.close();
    Result<Loaded> loaded = load();
    if (!loaded) return std::move(loaded).error();
    std::optional<std::string> fault = std::move(loaded.value().fault);
    if (!fault && written_ && loaded.value().contents.fresh) fault = "the store's file is gone";
    if (!fault) return boost::outcome_v2::success();
    environment_.close();
    return Error{ErrorKind::storage, directory_.string(), *fault,
                 "restart the process: it will take the store as lost"};
}

// A full map gets its reserve for a small update, and keeps it.
int StoreState::commit(const Update& update) {
    int error = environment_.commit(update);
    if (error != MDB_MAP_FULL || mapBytes_ == fullMapBytes_) return error;
    if (bytesWritten(update) > kMaxSmallUpdateBytes) return error;
    mapBytes_ = fullMapBytes_;
    error = environment_.resizeMap(mapBytes_);
    if (error == 0) error = environment_.commit(update);
    return error;
}

Result<void> StoreState::write(const Update& update) {
    if (!environment_.isOpen()) {
        Result<void> opened = reopen();
        if (!opened) return opened;
    }
    int error = commit(update);
    if (error == MDB_PANIC) {  // an earlier failure within a commit; nothing of this update is there
        Result<void> opened = reopen();
        if (!opened) return opened;
        error = commit(update);
    }
    if (error == 0) written_ = true;
    if (error == 0 && update.forceSync) error = environment_.sync();
    if (error == 0) return boost::outcome_v2::success();
    // What the environment holds in memory may no longer be what the file holds: it is opened anew, with all checks,
    // before the next write. A full map leaves both as they were.
    if (error != MDB_MAP_FULL) environment_.close();
    return storageError(directory_, error);
}

}  // namespace beechpoint::storage
