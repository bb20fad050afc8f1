/// Errors of the store: LMDB's and the system's codes with what the operator can do about them.
#pragma once

#include <filesystem>
#include <system_error>

#include "core/result.hpp"

namespace beechpoint::storage {

/// Error of kind `storage` from a code of LMDB's, which include those of errno.
[[nodiscard]] Error storageError(const std::filesystem::path& file, int code);
/// Error of kind `storage` from a code of the file system.
[[nodiscard]] Error storageError(const std::filesystem::path& file, const std::error_code& code);

/// Whether LMDB's code tells of what the file holds, and not of what the disk refuses.
[[nodiscard]] bool meansDamage(int code);

}  // namespace beechpoint::storage
