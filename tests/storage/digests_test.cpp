#include "storage/digests.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace beechpoint::storage {
namespace {

constexpr std::size_t kRanges = 16;

Table someTable() {
    Table table;
    for (int i = 0; i < 300; ++i) table["key/" + std::to_string(i)] = "value " + std::to_string(i);
    return table;
}

TEST(Digests, EqualTablesHaveNoDifferingRange) {
    EXPECT_TRUE(
        differingRanges(digestRanges(someTable(), kRanges), digestRanges(someTable(), kRanges)).empty());
    EXPECT_TRUE(differingRanges(digestRanges({}, kRanges), digestRanges({}, kRanges)).empty());
}

// A change to one key makes exactly one range differ, and that range's entries hold the key on the side that has it.
TEST(Digests, OneChangeDiffersInRangeOfItsKeyOnly) {
    const Table own = someTable();
    std::mt19937 random(3);
    for (int trial = 0; trial < 200; ++trial) {
        const std::string key = "key/" + std::to_string(random() % 320);
        Table other = own;
        if (trial % 2 == 0 || !other.contains(key))
            other[key] += "x";
        else
            other.erase(key);
        const auto differing = differingRanges(digestRanges(own, kRanges), digestRanges(other, kRanges));
        ASSERT_EQ(differing.size(), 1u) << key;
        const Table ownEntries = entriesOfRange(own, differing[0], kRanges);
        const Table otherEntries = entriesOfRange(other, differing[0], kRanges);
        EXPECT_EQ(ownEntries.contains(key), own.contains(key));
        EXPECT_EQ(otherEntries.contains(key), other.contains(key));
    }
}

TEST(Digests, SwappedValuesDiffer) {
    const Table own{{"a", "1"}, {"b", "2"}};
    const Table other{{"a", "2"}, {"b", "1"}};
    EXPECT_FALSE(differingRanges(digestRanges(own, 1), digestRanges(other, 1)).empty());
}

TEST(Digests, EntriesOfAllRangesAreTheTable) {
    Table together;
    for (std::size_t range = 0; range < kRanges; ++range)
        for (const auto& entry : entriesOfRange(someTable(), range, kRanges))
            EXPECT_TRUE(together.insert(entry).second);
    EXPECT_EQ(together, someTable());
}

TEST(Digests, ClampsRangesAndListsOfUnlikeLengthDifferEverywhere) {
    EXPECT_EQ(digestRanges(someTable(), 0).size(), 1u);
    EXPECT_EQ(digestRanges(someTable(), kMaxRanges + 1).size(), kMaxRanges);
    EXPECT_EQ(differingRanges({1, 2}, {1, 2, 3}), (std::vector<std::size_t>{0, 1, 2}));
}

}  // namespace
}  // namespace beechpoint::storage
