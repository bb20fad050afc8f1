/// The directory of a store: creation with durable names, and moving a lost store aside. A new name in a directory is durable
/// only after a sync of that directory.
#pragma once

#include <filesystem>

#include "core/result.hpp"

namespace beechpoint::storage {

/// Makes the names in the directory durable.
[[nodiscard]] Result<void> syncDirectory(const std::filesystem::path& directory);

/// Makes the directory and those above it that are missing, each name durable before the next is made.
[[nodiscard]] Result<void> makeDirectory(const std::filesystem::path& directory);

/// Renames the data file to kAsideName, or removes it when it is above kMaxAsideBytes or cannot be renamed.
[[nodiscard]] Result<void> moveStoreAside(const std::filesystem::path& directory);

}  // namespace beechpoint::storage
