/// Checks the page structure of an LMDB file (lmdb_format.hpp) before LMDB opens it. LMDB trusts its pages: a corrupt one makes
/// it read outside its map or write over live pages. Reads only.
///
/// Checked of the newest state: both meta pages; each tree's depth, kinds, bounds, order of keys and counts; that no page is
/// used twice, by a tree, an overflow value or the free list. What the values hold is not checked here (record.hpp).
#pragma once

#include <filesystem>
#include <optional>
#include <string>

#include "core/result.hpp"

namespace beechpoint::storage {

/// What is wrong with the file's newest state; nothing when both trees, the free list and all references are sound.
/// An error of kind `storage` when the file cannot be read.
[[nodiscard]] Result<std::optional<std::string>> findPageFault(const std::filesystem::path& file);

}  // namespace beechpoint::storage
