#include "storage/storage_errors.hpp"

#include <lmdb.h>

#include <cerrno>

namespace beechpoint::storage {

namespace {

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

}  // namespace

Error storageError(const std::filesystem::path& file, int code) {
    return {ErrorKind::storage, file.string(), mdb_strerror(code), remedyFor(code)};
}

Error storageError(const std::filesystem::path& file, const std::error_code& code) {
    return {ErrorKind::storage, file.string(), code.message(),
            "check the disk and the directory's permissions"};
}

bool meansDamage(int code) {
    switch (code) {
        case MDB_INVALID:
        case MDB_CORRUPTED:
        case MDB_PAGE_NOTFOUND:
        case MDB_VERSION_MISMATCH:
        case MDB_INCOMPATIBLE:
            return true;
        default:
            return false;
    }
}

}  // namespace beechpoint::storage
