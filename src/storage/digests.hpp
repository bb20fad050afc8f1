/// Comparison of two copies of the replicated table without sending them: digests over ranges of keys (as a Merkle tree of one
/// level). Free of I/O; pure functions, to be called from any thread. Both sides have to use the same number of ranges.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/replicated_table.hpp"

namespace beechpoint::storage {

inline constexpr std::size_t kMaxRanges = 4096;

/// One digest for each of `ranges` ranges (clamped to 1 to kMaxRanges). Keys are divided among the ranges by hash, so that the
/// division is the same whatever the table holds. Equal tables have equal digests.
[[nodiscard]] std::vector<std::uint64_t> digestRanges(const Table& table, std::size_t ranges);

/// Indexes of the ranges that differ. Lists of unlike length differ in every range of the longer one.
[[nodiscard]] std::vector<std::size_t> differingRanges(const std::vector<std::uint64_t>& own,
                                                       const std::vector<std::uint64_t>& other);

/// The part of the table that lies in one range of `ranges`, for sending what differs.
[[nodiscard]] Table entriesOfRange(const Table& table, std::size_t range, std::size_t ranges);

}  // namespace beechpoint::storage
