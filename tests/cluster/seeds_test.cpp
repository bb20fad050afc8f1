// Many seeds in virtual time. Built without the sanitizers, which make a run fourteen times slower; the same code is under them
// in cluster_tests.
#include <gtest/gtest.h>

#include "emulator/group_run.hpp"

namespace beechpoint::emulator {
namespace {

GroupScenario seeds() { return readGroupScenarioFile(BEECHPOINT_SCENARIOS "/group/seeds.json"); }

// Faults and operations close together, in blocks so that they run side by side. The long form is in docs/group.md.
class ManySeeds : public testing::TestWithParam<int> {};
TEST_P(ManySeeds, ViolateNoInvariant) {
    GroupScenario s = seeds();
    s.folder = GetParam() % 3 == 2;
    if (GetParam() == 7) s.members = s.voters = 7;
    const GroupSweep sweep = sweepGroup(s, 1 + static_cast<std::uint64_t>(GetParam()) * 50, 50);
    EXPECT_TRUE(sweep.broken.empty() && sweep.restless == 0) << summary(s, sweep);
    EXPECT_GT(sweep.handOvers, 150u);
    EXPECT_FALSE(sweep.folders.contains("damaged"));
    for (const char* met : {"kill at a leader", "stop at a holder", "cut at a leader", "upgrade at a holder"})
        EXPECT_TRUE(sweep.met.contains(met)) << met;
}
INSTANTIATE_TEST_SUITE_P(Blocks, ManySeeds, testing::Range(0, 8));

// A safeguard left out is found by the checkers, and the same seeds hold with it. The others have scripts of
// their own, in which the moment comes for sure (ledger_test, virtual_test).
struct Left {
    const char* out;
    std::uint64_t from, seeds;
    const char* found;
};
std::ostream& operator<<(std::ostream& out, const Left& left) { return out << left.out; }
class SafeguardLeftOut : public testing::TestWithParam<Left> {};
TEST_P(SafeguardLeftOut, IsFound) {
    GroupScenario s = seeds();
    const Left& left = GetParam();
    EXPECT_TRUE(sweepGroup(s, left.from, left.seeds).broken.empty());
    s.broken = left.out;
    GroupSweep sweep = sweepGroup(s, left.from, left.seeds);
    EXPECT_GT(sweep.broken[left.found], 0u) << summary(s, sweep);
}
INSTANTIATE_TEST_SUITE_P(Each, SafeguardLeftOut,
                         testing::Values(Left{"forgetsVote", 1, 15, "settled entries differ"},
                                         Left{"notProlonged", 10, 15, "two holders"}),
                         [](const auto& test) { return std::string(test.param.out); });

}  // namespace
}  // namespace beechpoint::emulator
