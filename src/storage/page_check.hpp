// Checks the page structure of an LMDB file (format 1, 64 bit, as LMDB 0.9 writes it) before LMDB opens it. LMDB trusts
// its pages: a damaged one makes it read outside its map or write over live pages. Only reads.
#pragma once

#include <filesystem>
#include <optional>
#include <string>

#include "core/result.hpp"

namespace beechpoint::storage {

// What is wrong with the file's newest state; nothing when both trees, the free list and all references are sound.
// An error when the file cannot be read.
Result<std::optional<std::string>> findPageFault(const std::filesystem::path& file);

}  // namespace beechpoint::storage
