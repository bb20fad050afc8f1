// The comparison itself: each kind of difference is found and named.
#include "golden_list.hpp"

namespace beechpoint::golden {
namespace {

TEST(GoldenList, EqualListsHaveNoDifference) {
    EXPECT_EQ(difference({"a", "b"}, {"a", "b"}), "");
    EXPECT_EQ(difference({}, {}), "");
}

TEST(GoldenList, NamesWhatIsMissingExtraOrChanged) {
    EXPECT_EQ(difference({"a", "b"}, {"a"}), "missing: b\n");
    EXPECT_EQ(difference({"a"}, {"a", "b"}), "extra:   b\n");
    EXPECT_EQ(difference({"a counter"}, {"a gauge"}), "missing: a counter\nextra:   a gauge\n");
    EXPECT_EQ(difference({"a"}, {"a", "a"}), "extra:   a\n");
}

TEST(GoldenList, NamesTheFirstLineInAnotherOrder) {
    EXPECT_EQ(difference({"a", "b", "c"}, {"a", "c", "b"}), "order:   line 2 is 'c', was 'b'\n");
}

TEST(GoldenList, PutsATextOnOneLine) { EXPECT_EQ(onOneLine("a\\\r\nb"), "a\\\\\\r\\nb"); }

TEST(GoldenList, AMissingFileOrAnEmptyListFails) {
    EXPECT_FALSE(equalsFile("no_such_list", {"a"}));
    EXPECT_FALSE(equalsFile("counters", {}));
}

}  // namespace
}  // namespace beechpoint::golden
