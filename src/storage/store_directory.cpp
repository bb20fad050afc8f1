#include "storage/store_directory.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "storage/environment.hpp"
#include "storage/storage_errors.hpp"
#include "storage/store.hpp"

namespace beechpoint::storage {

namespace fs = std::filesystem;

Result<void> syncDirectory(const fs::path& directory) {
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
    const int code = errno;  // before close() may change it
    if (descriptor >= 0) ::close(descriptor);
    if (!synced) return storageError(directory, code);
    return boost::outcome_v2::success();
}

Result<void> makeDirectory(const fs::path& directory) {
    std::error_code code;
    if (fs::is_directory(directory, code)) return boost::outcome_v2::success();
    const fs::path parent = directory.parent_path();
    if (parent != directory && !parent.empty()) {
        Result<void> made = makeDirectory(parent);
        if (!made) return made;
    }
    fs::create_directory(directory, code);
    if (code) return storageError(directory, code);
    return syncDirectory(parent);
}

Result<void> moveStoreAside(const fs::path& directory) {
    const fs::path file = directory / kDataFile;
    std::error_code code;
    const std::uintmax_t size = fs::file_size(file, code);
    const bool retain = !code && size <= kMaxAsideBytes;
    if (retain) fs::rename(file, directory / kAsideName, code);
    if (!retain || code) fs::remove(file, code);
    if (code) return storageError(file, code);
    return syncDirectory(directory);
}

}  // namespace beechpoint::storage
