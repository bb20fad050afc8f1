// Order numbers of a list's items that change as little as possible: items that keep their order among each other
// keep their numbers, the others get numbers from the gaps.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace beechpoint::configuration {

inline constexpr std::uint64_t kOrderStep = std::uint64_t{1} << 20;

// The numbers of a list, rising. `before` has, for each item, the number that it has now, if any.
std::vector<std::uint64_t> assignOrders(const std::vector<std::optional<std::uint64_t>>& before);

}  // namespace beechpoint::configuration
