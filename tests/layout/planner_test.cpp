// Tests of move plans on seeded random fleets.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "fleets.hpp"

namespace beechpoint::layout {
namespace {

// Checks the constraints that hold for greedy and solver plans alike.
void expectValidPlan(const Fleet& fleet, const PlanLimits& limits, const MovePlan& plan) {
    EXPECT_LE(plan.moves.size(), limits.maxMoves);
    std::set<SliceId> moved;
    double bytes = 0;
    for (const PlannedMove& m : plan.moves) {
        EXPECT_TRUE(moved.insert(m.move.slice).second);
        EXPECT_FALSE(m.reason.empty());
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
            EXPECT_FALSE(h.name == m.move.to && sites.contains(h.site)) << m.reason;
        bytes += s.bytes;
    }
    EXPECT_DOUBLE_EQ(bytes, plan.bytes);
    EXPECT_LE(plan.excessAfter, plan.excessBefore + 1e-9);
    EXPECT_LE(plan.sameSiteAfter, plan.sameSiteBefore);
}

TEST(Planner, SatisfiesItsConstraintsAndIsNeverWorseThanGreedy) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const Fleet fleet = test::randomFleet(seed, 12, 80);
        const PlanLimits limits{6, 0.2, 2000};
        const MovePlan greedy = greedyPlan(fleet, limits), best = plan(fleet, limits);
        expectValidPlan(fleet, limits, greedy);
        expectValidPlan(fleet, limits, best);
        EXPECT_LE(best.sameSiteAfter, greedy.sameSiteAfter);
        EXPECT_TRUE(best.sameSiteAfter < greedy.sameSiteAfter ||
                    best.excessAfter <= greedy.excessAfter + 1e-6);
    }
}

TEST(Planner, PlansNoMovesForABalancedFleet) {
    Fleet fleet{{{"a", "n", 10}, {"b", "s", 10}}, {{0, 4, 100, {0, 1}}}};
    EXPECT_TRUE(plan(fleet, {}).moves.empty());
}

TEST(Planner, SeparatesHoldersThatShareASiteAndGivesTheReason) {
    Fleet fleet{{{"a", "n", 10}, {"b", "n", 10}, {"c", "s", 10}}, {{0, 4, 100, {0, 1}}}};
    const MovePlan best = plan(fleet, {});
    ASSERT_EQ(best.moves.size(), 1U);
    EXPECT_EQ(best.moves[0].move.to, "c");
    EXPECT_EQ(best.sameSiteAfter, 0U);
    EXPECT_NE(best.moves[0].reason.find("two holders in site n"), std::string::npos);
}

TEST(Planner, MovesTheFewestBytesThatHelp) {
    // Host a exceeds its margin by 1; moving slice 0 (100 bytes) or slice 1 (10 bytes) resolves it.
    Fleet fleet{{{"a", "n", 10}, {"b", "s", 100}, {"c", "n", 100}},
                {{0, 4, 100, {0, 1}}, {1, 4, 10, {0, 1}}, {2, 10, 500, {0, 1}}}};
    const MovePlan best = plan(fleet, {4, 0.2, 2000});
    ASSERT_EQ(best.moves.size(), 1U);
    EXPECT_EQ(best.moves[0].move.slice, 1U);
    EXPECT_EQ(best.moves[0].move.to, "c");
    EXPECT_NEAR(best.excessAfter, 0, 1e-9);
}

TEST(Planner, UsesTheGreedyPlanIfTheSolverIsDisabled) {
    const Fleet fleet = test::randomFleet(3, 60, 600);
    const PlanLimits noSolver{8, 0.2, 0};
    const MovePlan best = plan(fleet, noSolver);
    EXPECT_FALSE(best.fromSolver);
    expectValidPlan(fleet, noSolver, best);
}

TEST(Planner, RejectsAnInvalidFleet) {
    Fleet fleet{{{"a", "n", 10}}, {{0, 4, 100, {0, 1}}}};
    EXPECT_THROW(plan(fleet, {}), InvalidLayout);
    fleet.slices[0].holders = {0, 0};
    EXPECT_THROW(plan(fleet, {}), InvalidLayout);
    fleet.slices[0].holders = {};
    EXPECT_THROW(plan(fleet, {}), InvalidLayout);
}

}  // namespace
}  // namespace beechpoint::layout
