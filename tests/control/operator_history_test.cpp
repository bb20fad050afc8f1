#include "operator_history.hpp"

#include <gtest/gtest.h>

namespace beechpoint::control {
namespace {

constexpr std::uint64_t kSeeds = 40;

// Each situation must occur often enough for the histories to be meaningful.
TEST(OperatorHistory, HoldsGuaranteesThroughFaults) {
    HistoryReport all;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const HistoryReport one = playHistory(seed);
        for (const std::string& violation : one.violations)
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        all.answers += one.answers;
        all.applied += one.applied;
        all.appliedAgain += one.appliedAgain;
        all.rejected += one.rejected;
        all.reads += one.reads;
        all.atStaleMember += one.atStaleMember;
        all.unknown += one.unknown;
        all.viewChanges += one.viewChanges;
    }
    RecordProperty("answers", std::to_string(all.answers));
    EXPECT_GT(all.applied, 10 * kSeeds);
    EXPECT_GT(all.appliedAgain, 15 * kSeeds);
    EXPECT_GT(all.rejected, 30 * kSeeds);
    EXPECT_GT(all.reads, 15 * kSeeds);
    EXPECT_GT(all.atStaleMember, 15 * kSeeds);
    EXPECT_GT(all.unknown, kSeeds);
    EXPECT_GT(all.viewChanges, 5 * kSeeds);
}

TEST(OperatorHistory, IsDeterministicForOneSeed) {
    const HistoryReport first = playHistory(7), second = playHistory(7);
    EXPECT_EQ(first.answers, second.answers);
    EXPECT_EQ(first.applied, second.applied);
}

}  // namespace
}  // namespace beechpoint::control
