// What the processes of an upgrade may use, and who the successor is.
#include "admin/overlap.hpp"

#include <gtest/gtest.h>

using beechpoint::admin::Lifecycle;
using beechpoint::admin::Overlap;
using State = Lifecycle::State;
using Process = Overlap::Process;

namespace {

// Each process's own view of all that live.
std::vector<Overlap> views(const std::vector<Process>& all) {
    std::vector<Overlap> seen(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        std::vector<Process> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        seen[i].seen(all[i], others);
    }
    return seen;
}

TEST(Overlap, SharesAddUpToOneInEveryMixOfStates) {
    const State states[] = {State::starting, State::serving, State::draining, State::stopping};
    for (const State a : states)
        for (const State b : states)
            for (const State c : states) {
                double two = 0, three = 0;
                for (const Overlap& o : views({{"a", 1, a}, {"b", 2, b}})) two += o.share();
                for (const Overlap& o : views({{"a", 1, a}, {"b", 2, b}, {"c", 3, c}})) three += o.share();
                EXPECT_NEAR(two, 1, 1e-9);
                EXPECT_NEAR(three, 1, 1e-9);
            }
}

TEST(Overlap, TheSuccessorIsYoungerAndServes) {
    const auto both = [](State old, State young) { return views({{"z", 1, old}, {"a", 2, young}}); };
    EXPECT_TRUE(both(State::serving, State::serving)[0].successor());
    EXPECT_TRUE(both(State::stopping, State::serving)[0].successor());
    EXPECT_FALSE(both(State::serving, State::serving)[1].successor());
    for (const State young : {State::starting, State::draining, State::stopping})
        EXPECT_FALSE(both(State::serving, young)[0].successor());
    EXPECT_TRUE(
        views({{"a", 1, State::serving}, {"b", 1, State::serving}})[0].successor());  // one of them, surely
}

TEST(Overlap, WhoDiesFreesItsShare) {
    Overlap own;
    const Process self{"a", 1, State::serving};
    EXPECT_TRUE(own.seen(self, {{"b", 2, State::serving}}));
    EXPECT_FALSE(own.seen(self, {{"b", 2, State::serving}}));  // no news
    EXPECT_DOUBLE_EQ(own.share(), 0.5);
    EXPECT_TRUE(own.seen(self, {{"b", 2, State::stopping}}));
    EXPECT_DOUBLE_EQ(own.share(), 2.0 / 3);
    EXPECT_TRUE(own.seen(self, {}));
    EXPECT_DOUBLE_EQ(own.share(), 1);
}

}  // namespace
