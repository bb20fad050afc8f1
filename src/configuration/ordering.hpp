/// Order numbers of a list's items that change as little as possible: the items of a longest subsequence that keeps its order
/// keep their numbers, the others get numbers from the gaps between them. So a PUT that moves one item changes one value.
///
/// Pure functions; to be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace beechpoint::configuration {

/// Distance between the numbers of a list that is numbered anew.
inline constexpr std::uint64_t kOrderStep = std::uint64_t{1} << 20;

/// The numbers of a list, rising. `before` has, for each item, the number that it has now, if any. Where a gap is too small for
/// the items in it, the complete list is numbered anew.
[[nodiscard]] std::vector<std::uint64_t> assignOrders(
    const std::vector<std::optional<std::uint64_t>>& before);

}  // namespace beechpoint::configuration
