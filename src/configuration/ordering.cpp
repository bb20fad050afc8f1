#include "configuration/ordering.hpp"

#include <algorithm>
#include <cstddef>

namespace beechpoint::configuration {
namespace {

constexpr std::size_t kNone = -1;

// Marks a longest rising subsequence of the numbers that are there.
std::vector<bool> longestRising(const std::vector<std::optional<std::uint64_t>>& numbers) {
    std::vector<std::size_t> endOfLength;  // index of the lowest end of a rising subsequence of each length
    std::vector<std::size_t> previous(numbers.size(), kNone);
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (!numbers[index]) continue;
        const auto path =
            std::lower_bound(endOfLength.begin(), endOfLength.end(), *numbers[index],
                             [&](std::size_t end, std::uint64_t number) { return *numbers[end] < number; });
        if (path != endOfLength.begin()) previous[index] = *(path - 1);
        if (path == endOfLength.end())
            endOfLength.push_back(index);
        else
            *path = index;
    }
    std::vector<bool> marked(numbers.size(), false);
    for (std::size_t index = endOfLength.empty() ? kNone : endOfLength.back(); index != kNone;
         index = previous[index])
        marked[index] = true;
    return marked;
}

std::vector<std::uint64_t> freshOrders(std::size_t count) {
    std::vector<std::uint64_t> orders(count);
    for (std::size_t index = 0; index < count; ++index) orders[index] = kOrderStep * (index + 1);
    return orders;
}

// Spreads the items from `begin` to `end` between the numbers around them. False: the gap is too small.
bool fillGap(std::vector<std::uint64_t>& orders, std::size_t begin, std::size_t end, bool open) {
    const std::uint64_t low = begin == 0 ? 0 : orders[begin - 1];
    const std::uint64_t parts = end - begin + 1;
    const std::uint64_t width = open ? kOrderStep * parts : orders[end] - low;
    if (width < parts) return false;
    for (std::size_t index = begin; index < end; ++index) {
        const std::uint64_t part = index - begin + 1;
        orders[index] = low + width / parts * part + width % parts * part / parts;
    }
    return true;
}

}  // namespace

std::vector<std::uint64_t> assignOrders(const std::vector<std::optional<std::uint64_t>>& before) {
    const std::vector<bool> kept = longestRising(before);
    std::vector<std::uint64_t> orders(before.size());
    for (std::size_t index = 0; index < before.size(); ++index)
        if (kept[index]) orders[index] = *before[index];
    for (std::size_t begin = 0; begin < before.size();) {
        std::size_t end = begin;
        while (end < before.size() && !kept[end]) ++end;
        if (end > begin && !fillGap(orders, begin, end, end == before.size()))
            return freshOrders(before.size());
        begin = end + 1;
    }
    return orders;
}

}  // namespace beechpoint::configuration
