// Processes outside the view that copy the committed table before a view adds them.
#include <gtest/gtest.h>

#include <algorithm>

#include "replica/settings.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kCatchUp = 4'000;
constexpr Millis kFullTableTransfer = 700;  // duration of a full table transfer
constexpr Millis kMaxPause = 450;           // between two acknowledgements, including view changes

class LearnerTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    Cluster make(Millis fullTableDelay) const {
        ClusterOptions options;
        options.seed = GetParam();
        options.fullTableDelay = fullTableDelay;
        return Cluster(options);
    }
    // A founded cluster with more committed batches than the history keeps.
    static void age(Cluster& cluster) {
        cluster.startClient();
        ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.isComplete(); })) << cluster.describe();
        const std::uint64_t enough = cluster.acknowledged() + kMaxHistoryBatches + 20;
        ASSERT_TRUE(cluster.runUntil(60'000, [&] { return cluster.acknowledged() >= enough; }));
    }
    // Longest time without an acknowledgement until the condition holds.
    static Millis longestPause(Cluster& cluster, Millis span, const std::function<bool()>& condition) {
        std::uint64_t seen = cluster.acknowledged();
        Millis since = cluster.now();
        Millis longest = 0;
        cluster.runUntil(span, [&] {
            longest = std::max(longest, cluster.now() - since);
            if (cluster.acknowledged() != seen) since = cluster.now();
            seen = cluster.acknowledged();
            return condition();
        });
        return longest;
    }
};

TEST_P(LearnerTest, WritesDoNotWaitForTransferToEmptyMachine) {
    Cluster cluster = make(kFullTableTransfer);
    age(cluster);
    const std::size_t node = GetParam() % 3;
    cluster.losePower(node);
    cluster.wipe(node);
    cluster.runFor(2'000);
    cluster.start(node);
    const Millis began = cluster.now();
    const Millis pause = longestPause(cluster, kCatchUp, [&] { return cluster.isComplete(); });
    EXPECT_TRUE(cluster.isComplete()) << cluster.describe();
    EXPECT_LT(cluster.now() - began, kMaxLearningTime + 500);
    EXPECT_LT(pause, kMaxPause) << "writes waited for the copy of an empty machine";
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

// The copy takes longer than the learning deadline, so the learner is added without it, well within the time that a loss counts.
TEST_P(LearnerTest, JoinsWithSlowTransferAfterMaximumTime) {
    Cluster cluster = make(kMaxLearningTime + 1'000);
    age(cluster);
    const std::size_t node = GetParam() % 3;
    cluster.losePower(node);
    cluster.wipe(node);
    cluster.runFor(2'000);
    cluster.start(node);
    EXPECT_TRUE(cluster.runUntil(kMaxLearningTime + 1'000, [&] { return cluster.replica(node).isInView(); }))
        << cluster.describe();
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LearnerTest, ::testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace beechpoint::replica::simulation
