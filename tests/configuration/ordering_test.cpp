#include "configuration/ordering.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "configuration/stored_item.hpp"

namespace beechpoint::configuration {
namespace {

using Numbers = std::vector<std::optional<std::uint64_t>>;

bool isRising(const std::vector<std::uint64_t>& orders) {
    return std::is_sorted(orders.begin(), orders.end(), std::less_equal<>{});
}

TEST(Ordering, KeepsRisingNumbers) {
    EXPECT_EQ(assignOrders({5, 7, 9}), (std::vector<std::uint64_t>{5, 7, 9}));
    EXPECT_EQ(assignOrders({}), std::vector<std::uint64_t>{});
}

TEST(Ordering, NumbersNewItemsWithinGaps) {
    const auto orders = assignOrders({100, std::nullopt, 200, std::nullopt});
    EXPECT_EQ(orders[0], 100U);
    EXPECT_EQ(orders[2], 200U);
    EXPECT_TRUE(isRising(orders));
}

TEST(Ordering, NumbersListAnewWhenGapIsTooSmall) {
    const auto orders = assignOrders({1, std::nullopt, 2});
    EXPECT_EQ(orders, (std::vector<std::uint64_t>{kOrderStep, 2 * kOrderStep, 3 * kOrderStep}));
    EXPECT_TRUE(isRising(assignOrders({std::nullopt, 1})));
}

// The numbers rise, and an item that alone was moved is alone renumbered.
TEST(Ordering, IsRisingForRandomLists) {
    std::mt19937 random{7};
    for (int round = 0; round < 500; ++round) {
        Numbers numbers;
        std::uint64_t next = 0;
        for (unsigned count = static_cast<unsigned>(random() % 30); count > 0; --count) {
            next += 1 + random() % 50;
            numbers.push_back(random() % 4 == 0 ? std::nullopt : std::optional{next});
        }
        std::shuffle(numbers.begin(), numbers.begin() + static_cast<long>(numbers.size() / 2), random);
        const auto orders = assignOrders(numbers);
        ASSERT_EQ(orders.size(), numbers.size());
        ASSERT_TRUE(isRising(orders));
        ASSERT_TRUE(orders.empty() || orders.front() > 0);
    }
}

TEST(StoredItems, ParsesWhatWasFormattedAndNothingElse) {
    const std::string value = formatStoredItem(42, R"({"a": "b c"})");
    const auto stored = parseStoredItem(value);
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored->order, 42U);
    EXPECT_EQ(stored->json, R"({"a": "b c"})");
    for (const char* other : {"", "42", " {}", "x {}", "{}", "99999999999999999999 {}"})
        EXPECT_FALSE(parseStoredItem(other)) << other;
}

}  // namespace
}  // namespace beechpoint::configuration
