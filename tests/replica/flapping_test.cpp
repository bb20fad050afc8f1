// A flapping member, for example with a bad link: each time it is added costs two view changes, so its probation grows.
#include <gtest/gtest.h>

#include "replica/settings.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kOutage = 1'300;             // long enough to be removed from the view
constexpr Millis kUpBetweenFailures = 1'100;  // long enough to be added again after the first probation
constexpr int kRounds = 8;
constexpr std::uint64_t kMaxViews = 6;  // for three additions and removals
constexpr Millis kCatchUp = 4'000;

void isolate(Cluster& cluster, std::size_t node, bool cut) {
    for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
        cluster.partition(node, peer, cut && peer != node);
        cluster.partition(peer, node, cut && peer != node);
    }
}

class FlappingTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(FlappingTest, FlappingMemberIsTakenInLessAndLessOften) {
    ClusterOptions options;
    options.seed = GetParam();
    Cluster cluster(options);
    cluster.startClient();
    ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.isComplete(); })) << cluster.describe();
    const std::size_t node = GetParam() % 3;
    const std::size_t other = (node + 1) % 3;
    const std::uint64_t before = cluster.replica(other).view().epoch;
    for (int round = 0; round < kRounds; ++round) {
        isolate(cluster, node, true);
        cluster.runFor(kOutage);
        isolate(cluster, node, false);
        cluster.runFor(kUpBetweenFailures);
    }
    const std::uint64_t views = cluster.replica(other).view().epoch - before;
    EXPECT_GE(views, 2u);
    EXPECT_LE(views, kMaxViews) << "too many views for a member that comes and goes";
    EXPECT_TRUE(cluster.runUntil(kMaxProbation + 1'000, [&] { return cluster.isComplete(); }))
        << cluster.describe();
    EXPECT_LT(kMaxProbation + 1'000, kCatchUp);
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

INSTANTIATE_TEST_SUITE_P(Seeds, FlappingTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
