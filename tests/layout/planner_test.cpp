// Plans of moves on fleets drawn from seeds.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "fleets.hpp"

namespace beechpoint::layout {
namespace {

// What every plan must keep, whoever made it.
void sound(const Fleet& fleet, const PlanLimits& limits, const MovePlan& plan) {
    EXPECT_LE(plan.moves.size(), limits.moves);
    std::set<SliceId> moved;
    double bytes = 0;
    for (const PlannedMove& m : plan.moves) {
        EXPECT_TRUE(moved.insert(m.move.slice).second);
        EXPECT_FALSE(m.why.empty());
        const FleetSlice& s = fleet.slices[m.move.slice];
        std::set<std::string> sites;
        bool held = false;
        for (const std::size_t h : s.holders) {
            EXPECT_NE(fleet.hosts[h].name, m.move.to);
            if (fleet.hosts[h].name == m.move.from)
                held = true;
            else
                sites.insert(fleet.hosts[h].site);
        }
        EXPECT_TRUE(held);
        for (const FleetHost& h : fleet.hosts)
            EXPECT_FALSE(h.name == m.move.to && sites.contains(h.site)) << m.why;
        bytes += s.bytes;
    }
    EXPECT_DOUBLE_EQ(bytes, plan.bytes);
    EXPECT_LE(plan.excessAfter, plan.excessBefore + 1e-9);
    EXPECT_LE(plan.sameSiteAfter, plan.sameSiteBefore);
}

TEST(Planner, KeepsItsConstraintsAndIsNeverWorseThanGreedy) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Fleet fleet = test::drawnFleet(seed, 12, 80);
        const PlanLimits limits{6, 0.2, 2000};
        const MovePlan greedy = greedyPlan(fleet, limits), best = plan(fleet, limits);
        sound(fleet, limits, greedy);
        sound(fleet, limits, best);
        EXPECT_LE(best.sameSiteAfter, greedy.sameSiteAfter);
        EXPECT_TRUE(best.sameSiteAfter < greedy.sameSiteAfter ||
                    best.excessAfter <= greedy.excessAfter + 1e-6);
    }
}

TEST(Planner, DoesNothingWhereNothingIsWrong) {
    Fleet fleet{{{"a", "n", 10}, {"b", "s", 10}}, {{0, 4, 100, {0, 1}}}};
    EXPECT_TRUE(plan(fleet, {}).moves.empty());
}

TEST(Planner, SeparatesHoldersThatShareASiteAndSaysSo) {
    Fleet fleet{{{"a", "n", 10}, {"b", "n", 10}, {"c", "s", 10}}, {{0, 4, 100, {0, 1}}}};
    const MovePlan p = plan(fleet, {});
    ASSERT_EQ(p.moves.size(), 1U);
    EXPECT_EQ(p.moves[0].move.to, "c");
    EXPECT_EQ(p.sameSiteAfter, 0U);
    EXPECT_NE(p.moves[0].why.find("two holders in site n"), std::string::npos);
}

TEST(Planner, MovesTheFewestBytesThatHelp) {
    // a is over its margin by 1; either slice 0 (100 bytes) or slice 1 (10 bytes) would do.
    Fleet fleet{{{"a", "n", 10}, {"b", "s", 100}, {"c", "n", 100}},
                {{0, 4, 100, {0, 1}}, {1, 4, 10, {0, 1}}, {2, 10, 500, {0, 1}}}};
    const MovePlan p = plan(fleet, {4, 0.2, 2000});
    ASSERT_EQ(p.moves.size(), 1U);
    EXPECT_EQ(p.moves[0].move.slice, 1U);
    EXPECT_EQ(p.moves[0].move.to, "c");
    EXPECT_NEAR(p.excessAfter, 0, 1e-9);
}

TEST(Planner, FallsBackWhereTheSolverGetsNoTime) {
    const Fleet fleet = test::drawnFleet(3, 60, 600);
    const PlanLimits none{8, 0.2, 0};
    const MovePlan p = plan(fleet, none);
    EXPECT_FALSE(p.bySolver);
    sound(fleet, none, p);
}

TEST(Planner, RefusesAFleetThatMakesNoSense) {
    Fleet fleet{{{"a", "n", 10}}, {{0, 4, 100, {0, 1}}}};
    EXPECT_THROW(plan(fleet, {}), BadLayout);
    fleet.slices[0].holders = {0, 0};
    EXPECT_THROW(plan(fleet, {}), BadLayout);
    fleet.slices[0].holders = {};
    EXPECT_THROW(plan(fleet, {}), BadLayout);
}

}  // namespace
}  // namespace beechpoint::layout
