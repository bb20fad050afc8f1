// Planned leave in virtual time: a process that is asked to shut down stays a full member until a view without it is installed.
#include <gtest/gtest.h>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kBound = 3'000;         // maximum duration of a leave
constexpr Millis kLeavesWithin = 1'500;  // if the others meet the tolerance without it
constexpr Millis kCatchUp = 4'000;       // time after the return for which a loss still counts
constexpr Millis kRecoverWithin = 3'000;

class LeavingTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    Cluster make(std::size_t nodes, Tolerance tolerance = {}) const {
        ClusterOptions options;
        options.seed = GetParam();
        options.nodes = nodes;
        options.tolerance = tolerance;
        return Cluster(options);
    }
    static void found(Cluster& cluster) {
        cluster.startClient();
        ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.isComplete(); })) << cluster.describe();
        cluster.runFor(500);
    }
    static bool recovers(Cluster& cluster) {
        const std::uint64_t before = cluster.acknowledged();
        return cluster.runUntil(kRecoverWithin, [&] { return cluster.acknowledged() > before + 1; });
    }
    // Whether all running processes share one installed view with this many members.
    static bool sharesView(Cluster& cluster, std::size_t members) {
        for (std::size_t node = 0; node < cluster.nodes(); ++node) {
            if (cluster.gone(node)) continue;
            if (!cluster.up(node) || !cluster.replica(node).isFresh(cluster.now())) return false;
            if (cluster.replica(node).view().members.size() != members) return false;
        }
        return true;
    }
    static std::size_t headOf(Cluster& cluster) {
        for (std::size_t node = 0; node < cluster.nodes(); ++node)
            if (cluster.up(node) && cluster.replica(node).isHead()) return node;
        return 0;
    }
};

TEST_P(LeavingTest, AMemberEndsOnceAViewWithoutItIsSettled) {
    Cluster cluster = make(3);
    found(cluster);
    const std::size_t node = GetParam() % 3;
    cluster.leave(node);
    EXPECT_TRUE(cluster.runUntil(kLeavesWithin, [&] { return !cluster.up(node); })) << cluster.describe();
    EXPECT_EQ(cluster.leftByAgreement(), 1u);
    EXPECT_TRUE(recovers(cluster));
    cluster.start(node);
    EXPECT_TRUE(cluster.runUntil(kRecoverWithin, [&] { return cluster.isComplete(); })) << cluster.describe();
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

// The replacement starts first, then the old process leaves; immediately after it exits, a second machine loses its disk.
TEST_P(LeavingTest, WipeRightAfterPlannedReplacementLeavesMajority) {
    Cluster cluster = make(3);
    found(cluster);
    const std::size_t old = GetParam() % 3;
    const std::size_t added = cluster.addReplacement(old, false);
    cluster.start(added);
    ASSERT_TRUE(cluster.runUntil(kCatchUp, [&] { return cluster.replica(added).isInView(); }));
    cluster.runFor(cluster.draw(0, 1'000));
    cluster.leave(old);
    ASSERT_TRUE(cluster.runUntil(kBound + 1, [&] { return !cluster.up(old); }));
    cluster.setGone(old);
    EXPECT_EQ(cluster.leftByAgreement(), 1u) << cluster.describe();
    const std::size_t second = (old + 1) % 3;
    cluster.losePower(second);
    cluster.wipe(second);
    EXPECT_TRUE(recovers(cluster)) << cluster.describe();
    cluster.start(second);
    EXPECT_TRUE(cluster.runUntil(kRecoverWithin, [&] { return sharesView(cluster, 3); }))
        << cluster.describe();
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

// Two members that must both hold everything: the leaving one is replaced by a waiting process with a slow disk.
TEST_P(LeavingTest, OnlyOtherCopyWaitsUntilReplacementHoldsState) {
    Cluster cluster = make(2);
    found(cluster);
    const std::size_t added = cluster.addReplacement(1, false);
    cluster.leave(1);
    cluster.runFor(300);
    EXPECT_TRUE(cluster.up(1));
    cluster.start(added);
    cluster.runUntil(1'000, [&] { return cluster.replica(0).view().members.back().name == "core-2"; });
    cluster.stallDisk(added, cluster.now() + 600);
    EXPECT_TRUE(cluster.runUntil(kBound, [&] { return !cluster.up(1); })) << cluster.describe();
    EXPECT_EQ(cluster.leftByAgreement(), 1u) << cluster.describe();
    cluster.setGone(1);
    EXPECT_TRUE(recovers(cluster)) << cluster.describe();
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

// Without a replacement, the leaving member serves until its time-out.
TEST_P(LeavingTest, MemberThatCannotBeSparedServesUntilTimeout) {
    Cluster cluster = make(2);
    found(cluster);
    const Millis began = cluster.now();
    cluster.leave(1);
    EXPECT_TRUE(recovers(cluster));
    EXPECT_TRUE(cluster.runUntil(kBound + 1, [&] { return !cluster.up(1); }));
    EXPECT_NEAR(cluster.now() - began, kBound, 1);
    EXPECT_EQ(cluster.replica(0).view().members.size(), 2u);
    EXPECT_EQ(cluster.leftByAgreement(), 0u);
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

TEST_P(LeavingTest, RollingRestartKeepsServing) {
    for (const std::size_t nodes : {3, 5}) {
        Cluster cluster = make(nodes, {nodes / 2, 1});
        found(cluster);
        for (std::size_t node = 0; node < nodes; ++node) {
            cluster.leave(node);
            ASSERT_TRUE(cluster.runUntil(kLeavesWithin, [&] { return !cluster.up(node); }))
                << cluster.describe();
            cluster.runFor(cluster.draw(100, 800));
            cluster.start(node);
            EXPECT_TRUE(recovers(cluster)) << cluster.describe();
            ASSERT_TRUE(cluster.runUntil(kRecoverWithin, [&] { return cluster.isComplete(); }))
                << cluster.describe();
        }
        EXPECT_EQ(cluster.leftByAgreement(), nodes);
        EXPECT_FALSE(cluster.failed()) << cluster.failure();
    }
}

TEST_P(LeavingTest, AllLeavingAtOnceEndInTimeWithoutRepeatedViews) {
    for (const std::size_t nodes : {3, 5}) {
        Cluster cluster = make(nodes, {nodes / 2, 1});
        found(cluster);
        const std::uint64_t epoch = cluster.replica(0).view().epoch;
        for (std::size_t node = 0; node < nodes; ++node) cluster.leave(node);
        EXPECT_TRUE(cluster.runUntil(kBound + 1, [&] {
            for (std::size_t node = 0; node < nodes; ++node)
                if (cluster.up(node)) return false;
            return true;
        }));
        std::uint64_t newest = 0;
        for (std::size_t node = 0; node < nodes; ++node)
            newest = std::max(newest, cluster.disk(node).control.view.epoch);
        EXPECT_LE(newest, epoch + nodes);
        for (std::size_t node = 0; node < nodes; ++node) cluster.start(node);
        EXPECT_TRUE(cluster.runUntil(kCatchUp, [&] { return cluster.isComplete(); })) << cluster.describe();
        EXPECT_TRUE(recovers(cluster));
        EXPECT_FALSE(cluster.failed()) << cluster.failure();
    }
}

// Restarted immediately after leaving: the new session joins as usual.
TEST_P(LeavingTest, RestartedLeavingHeadJoinsAgain) {
    Cluster cluster = make(3);
    found(cluster);
    const std::size_t node = headOf(cluster);
    cluster.leave(node);
    cluster.runFor(cluster.draw(0, 700));
    cluster.kill(node);
    cluster.runFor(cluster.draw(10, 300));
    cluster.start(node);
    EXPECT_TRUE(cluster.runUntil(kRecoverWithin, [&] { return cluster.isComplete(); })) << cluster.describe();
    EXPECT_TRUE(recovers(cluster));
    EXPECT_FALSE(cluster.failed()) << cluster.failure();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeavingTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
