// The checker of histories, on histories known to be good and bad.
#include "emulator/linear.hpp"

#include <gtest/gtest.h>

namespace beechpoint::emulator {
namespace {

DutyOp take(const char* member, double from, double to, std::uint64_t fencingToken) {
    return {DutyOp::Kind::take, member, from, to, true, fencingToken > 0, fencingToken};
}
DutyOp give(const char* member, double from, double to, std::uint64_t fencingToken, bool yes = true) {
    return {DutyOp::Kind::giveUp, member, from, to, true, yes, fencingToken};
}
DutyOp unknown(DutyOp op) {
    op.known = false;
    return op;
}

TEST(Linearizability, AcceptsLinearizableHistories) {
    EXPECT_TRUE(linearizable({}));
    EXPECT_TRUE(linearizable({take("a", 0, 1, 1), give("a", 2, 3, 1), take("b", 4, 5, 2)}));
    EXPECT_TRUE(linearizable({take("a", 0, 9, 2), take("b", 1, 2, 1)}));  // they overlap: b first
    EXPECT_TRUE(linearizable({take("a", 0, 1, 1), take("b", 2, 3, 0)}));  // held: no
    EXPECT_TRUE(linearizable({take("a", 0, 1, 1), take("b", 2, 3, 7)}));  // granted to others in between
    EXPECT_TRUE(linearizable({take("a", 0, 1, 3), give("a", 2, 3, 3, false)}));    // its session had ended
    EXPECT_TRUE(linearizable({unknown(take("a", 0, 1, 1)), take("b", 2, 3, 1)}));  // never happened
    EXPECT_TRUE(linearizable({unknown(take("a", 0, 1, 1)), take("b", 2, 3, 2), give("b", 4, 5, 2)}));
}
TEST(Linearizability, RejectsHistoriesThatAreNotLinearizable) {
    EXPECT_FALSE(linearizable({take("a", 0, 1, 2), take("b", 2, 3, 1)}));  // the number goes back
    EXPECT_FALSE(linearizable({take("a", 0, 1, 1), take("b", 2, 3, 1)}));  // one number twice
    EXPECT_FALSE(linearizable({take("a", 0, 5, 4), take("b", 1, 6, 4)}));  // also where they overlap
    EXPECT_FALSE(
        linearizable({take("a", 0, 1, 1), take("b", 2, 3, 2), give("a", 4, 5, 1)}));  // no longer a's
    EXPECT_FALSE(linearizable({take("a", 0, 1, 1), give("b", 2, 3, 1)}));             // never b's
    EXPECT_FALSE(
        linearizable({take("a", 0, 1, 1), give("a", 2, 3, 1), give("a", 4, 5, 1)}));  // given up twice
    EXPECT_FALSE(
        linearizable({take("a", 0, 1, 1), give("a", 2, 3, 1), take("b", 4, 5, 1), take("c", 6, 7, 2)}));
}
TEST(Linearizability, SearchStopsAtItsLimit) {
    std::vector<DutyOp> many;  // all at once: the order is anybody's guess
    for (int i = 0; i < 14; ++i) many.push_back(take("a", 0, 100, static_cast<std::uint64_t>(i + 1)));
    EXPECT_TRUE(linearizable(many, 50'000));
    many.push_back(take("b", 0, 100, 3));  // a number twice among them
    EXPECT_FALSE(linearizable(many, 5'000'000));
}

}  // namespace
}  // namespace beechpoint::emulator
