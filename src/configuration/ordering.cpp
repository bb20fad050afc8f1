#include "configuration/ordering.hpp"

#include <algorithm>
#include <cstddef>

namespace beechpoint::configuration {
namespace {

constexpr std::size_t kNone = -1;

// Marks a longest rising subsequence of the numbers that are there (patience sorting).
std::vector<bool> markLongestRising(const std::vector<std::optional<std::uint64_t>>& numbers) {
    std::vector<std::size_t> endOfLength;  // index of the lowest end of a rising subsequence of each length
    std::vector<std::size_t> previous(numbers.size(), kNone);
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (!numbers[index]) continue;
        const auto length =
            std::lower_bound(endOfLength.begin(), endOfLength.end(), *numbers[index],
                             [&](std::size_t end, std::uint64_t number) { return *numbers[end] < number; });
        if (length != endOfLength.begin()) previous[index] = *(length - 1);
        if (length == endOfLength.end())
            endOfLength.push_back(index);
        else
            *length = index;
    }
    std::vector<bool> marked(numbers.size(), false);
    std::size_t index = endOfLength.empty() ? kNone : endOfLength.back();
    while (index != kNone) {
        marked[index] = true;
        index = previous[index];
    }
    return marked;
}

std::vector<std::uint64_t> evenlySpacedOrders(std::size_t count) {
    std::vector<std::uint64_t> orders(count);
    for (std::size_t index = 0; index < count; ++index) orders[index] = kOrderStep * (index + 1);
    return orders;
}

enum class GapEnd { item, none };  // none: the gap lies behind the last item that keeps its number

// Spreads the items from `begin` to `end` between the numbers around them. False: the gap is too small.
bool fillGap(std::vector<std::uint64_t>& orders, std::size_t begin, std::size_t end, GapEnd gapEnd) {
    const std::uint64_t low = begin == 0 ? 0 : orders[begin - 1];
    const std::uint64_t parts = end - begin + 1;
    const std::uint64_t width = gapEnd == GapEnd::none ? kOrderStep * parts : orders[end] - low;
    if (width < parts) return false;
    for (std::size_t index = begin; index < end; ++index) {
        const std::uint64_t part = index - begin + 1;
        orders[index] = low + width / parts * part + width % parts * part / parts;
    }
    return true;
}

}  // namespace

std::vector<std::uint64_t> assignOrders(const std::vector<std::optional<std::uint64_t>>& before) {
    const std::vector<bool> keepsNumber = markLongestRising(before);
    std::vector<std::uint64_t> orders(before.size());
    for (std::size_t index = 0; index < before.size(); ++index)
        if (keepsNumber[index]) orders[index] = *before[index];
    for (std::size_t begin = 0; begin < before.size();) {
        std::size_t end = begin;
        while (end < before.size() && !keepsNumber[end]) ++end;
        const GapEnd gapEnd = end == before.size() ? GapEnd::none : GapEnd::item;
        if (end > begin && !fillGap(orders, begin, end, gapEnd)) return evenlySpacedOrders(before.size());
        begin = end + 1;
    }
    return orders;
}

}  // namespace beechpoint::configuration
