// Any number of members with countsAsLoss unset may be lost at any time, so no majority may depend on them.
#include <gtest/gtest.h>

#include "replica/view.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kRecoverWithin = 3'000;
constexpr Millis kLooked = 3'000;  // every process is placed by then

std::vector<Member> membersOf(std::size_t counted, std::size_t uncounted, std::size_t zones = 9) {
    std::vector<Member> members;
    for (std::size_t index = 0; index < counted + uncounted; ++index) {
        Member member;
        member.name = std::to_string(index);
        member.zone = std::to_string(index % zones);
        member.countsAsLoss = index < counted;
        members.push_back(member);
    }
    return members;
}

TEST(MajoritySurvivesWithoutUncounted, OnlyIfCountedMembersKeepMajorityAfterToleratedLosses) {
    const Tolerance one{1, 0};
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(3, 0), one));
    EXPECT_FALSE(majoritySurvivesWithoutUncounted(membersOf(3, 1), one));
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(4, 1), one));
    EXPECT_FALSE(majoritySurvivesWithoutUncounted(membersOf(4, 2), one));
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(5, 2), one));
    EXPECT_FALSE(majoritySurvivesWithoutUncounted(membersOf(5, 1), {2, 0}));
    // A zone of two counted members is the larger loss.
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(6, 1, 6), {1, 1}));
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(5, 1, 9), {1, 1}));
    EXPECT_FALSE(majoritySurvivesWithoutUncounted(membersOf(5, 1, 3), {1, 1}));
    // Two do not tolerate the loss of one, but together they must still be a majority.
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(2, 1), one));
    EXPECT_FALSE(majoritySurvivesWithoutUncounted(membersOf(2, 2), one));
    // Too few counted members: all are needed.
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(1, 2), one));
    EXPECT_TRUE(majoritySurvivesWithoutUncounted(membersOf(0, 3), one));
}

class UncountedTest : public ::testing::TestWithParam<std::uint64_t> {};

// Two uncounted and three counted members: all uncounted ones are lost while one counted member loses its disk.
TEST_P(UncountedTest, ServesAfterLossOfAllUncountedAndOneCounted) {
    ClusterOptions options;
    options.seed = GetParam();
    options.nodes = 5;
    options.uncounted = {GetParam() % 5, (GetParam() + 2) % 5};
    Cluster cluster(options);
    cluster.startClient();
    ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.acknowledged() > 0; })) << cluster.describe();
    cluster.runFor(kLooked);
    for (const std::size_t node : options.uncounted) EXPECT_FALSE(cluster.replica(node).isInView());
    for (const std::size_t node : options.uncounted) {
        cluster.losePower(node);
        cluster.setGone(node);
    }
    std::size_t lost = 0;
    while (options.uncounted.contains(lost)) ++lost;
    cluster.losePower(lost);
    cluster.wipe(lost);
    const std::uint64_t before = cluster.acknowledged();
    EXPECT_TRUE(cluster.runUntil(kRecoverWithin, [&] { return cluster.acknowledged() > before; }))
        << "no majority without the uncounted\n"
        << cluster.describe();
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

// A spare copies the table but is never fresh, so it does not answer polls.
TEST_P(UncountedTest, SpareHoldsCopyAndIsNeverFresh) {
    ClusterOptions options;
    options.seed = GetParam();
    options.nodes = 4;
    options.uncounted = {3};
    Cluster cluster(options);
    cluster.startClient();
    ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.acknowledged() > 0; })) << cluster.describe();
    cluster.runFor(kLooked);
    EXPECT_FALSE(cluster.replica(3).isInView());
    EXPECT_FALSE(cluster.replica(3).isFresh(cluster.now()));
    EXPECT_GT(cluster.disk(3).position.sequence + 30, cluster.lastAcknowledged().sequence);
    EXPECT_EQ(cluster.disk(3).syncedEpoch, 0u);
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

INSTANTIATE_TEST_SUITE_P(Seeds, UncountedTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
