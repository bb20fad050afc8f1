// Hundreds of changes, and members that restart with outdated disks: within the history, beyond it, or empty.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "replica/settings.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kCatchUp = 4'000;
constexpr Millis kRecoverWithin = 3'000;
constexpr Millis kFullTableDelay = 400;  // for the large table
constexpr Millis kSlowCopy = 2'600;      // longer than the learning deadline
constexpr Millis kWriteEvery = 20;
constexpr int kRounds = 8;
constexpr std::uint64_t kChanges = 500;  // minimum per run

// How far behind the others a member returns.
enum class Distance { sameView, insideHistory, beyondHistory, empty };

// Runs the others until a stopped member is this far behind.
void fallBehind(Cluster& cluster, Distance distance) {
    if (distance == Distance::sameView) return cluster.runFor(cluster.draw(50, 700));
    cluster.runFor(cluster.draw(1'500, 2'500));
    if (distance != Distance::beyondHistory) return;
    const std::uint64_t enough = cluster.acknowledged() + kMaxHistoryBatches + 10;
    if (!cluster.runUntil(60'000, [&] { return cluster.acknowledged() > enough; }) && !cluster.failed())
        cluster.fail("no writes while one member is away");
}

class RestartsTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    Cluster make(Millis fullTableDelay = kFullTableDelay) const {
        ClusterOptions options;
        options.seed = GetParam();
        options.nodes = GetParam() % 3 == 0 ? 5 : 3;
        options.fullTableDelay = fullTableDelay;
        options.writeEvery = kWriteEvery;
        return Cluster(options);
    }
    static void found(Cluster& cluster) {
        cluster.startClient();
        ASSERT_TRUE(cluster.runUntil(6'000, [&] { return cluster.isComplete(); })) << cluster.describe();
    }
    static bool recovers(Cluster& cluster) {
        const std::uint64_t before = cluster.acknowledged();
        return cluster.runUntil(kRecoverWithin, [&] { return cluster.acknowledged() > before; });
    }
    // Starts the member; returns the time until it is fresh and holds everything acknowledged before.
    static Millis catchUp(Cluster& cluster, std::size_t node) {
        const Millis began = cluster.now();
        const Position wanted = cluster.lastAcknowledged();
        cluster.start(node);
        const bool done = cluster.runUntil(kCatchUp, [&] {
            return cluster.up(node) && cluster.replica(node).isFresh(cluster.now()) &&
                   cluster.replica(node).committedPosition() >= wanted;
        });
        if (!done && !cluster.failed()) cluster.fail("a restarted member did not catch up");
        return cluster.now() - began;
    }
};

TEST_P(RestartsTest, MemberCatchesUpFromEveryDistanceDuringWrites) {
    Cluster cluster = make();
    found(cluster);
    Millis slowest = 0;
    for (int round = 0; round < kRounds && !cluster.failed(); ++round) {
        const auto distance = static_cast<Distance>((GetParam() + static_cast<std::uint64_t>(round)) % 4);
        const std::size_t node = cluster.random().below(cluster.nodes());
        cluster.random()() < 0.5 ? cluster.losePower(node) : cluster.kill(node);
        if (distance == Distance::empty) cluster.wipe(node);
        fallBehind(cluster, distance);
        slowest = std::max(slowest, catchUp(cluster, node));
        EXPECT_TRUE(recovers(cluster)) << cluster.describe();
        cluster.runUntil(kCatchUp, [&] { return cluster.isComplete(); });
    }
    EXPECT_GT(cluster.acknowledged(), kChanges);
    EXPECT_FALSE(cluster.failed()) << cluster.failure() << "\n" << cluster.describe();
    RecordProperty("slowest_ms", static_cast<int>(slowest));
    std::cout << "seed " << GetParam() << ": " << cluster.acknowledged() << " writes, slowest catch-up "
              << slowest << " ms\n";
}

// One member was down for long; then all others lose power and it starts first. It must not become the source of the next view.
TEST_P(RestartsTest, MemberWithOldStateIsNotSource) {
    Cluster cluster = make();
    found(cluster);
    for (int round = 0; round < kRounds && !cluster.failed(); ++round) {
        const std::size_t old = cluster.random().below(cluster.nodes());
        cluster.kill(old);
        fallBehind(cluster, static_cast<Distance>(round % 3));
        for (std::size_t node = 0; node < cluster.nodes(); ++node) cluster.losePower(node);
        cluster.start(old);
        for (std::size_t node = 0; node < cluster.nodes(); ++node)
            cluster.at(cluster.now() + cluster.draw(0, 900), [&cluster, node] { cluster.start(node); });
        cluster.runFor(900);
        EXPECT_TRUE(recovers(cluster)) << cluster.describe();
        EXPECT_TRUE(cluster.runUntil(kCatchUp, [&] { return cluster.isComplete(); })) << cluster.describe();
    }
    cluster.runFor(500);
    cluster.stopClient();
    cluster.runFor(1'500);
    for (std::size_t node = 0; node < cluster.nodes() && !cluster.failed(); ++node)
        if (cluster.replica(node).committedPosition() < cluster.lastAcknowledged())
            cluster.fail("an acknowledged write is missing in the end");
    EXPECT_FALSE(cluster.failed()) << cluster.failure() << "\n" << cluster.describe();
}

// A member is in the view but lacks the state because its transfer is slow, while another member stops and restarts.
TEST_P(RestartsTest, MemberNotYetSyncedIsNotSource) {
    Cluster cluster = make(kSlowCopy);
    found(cluster);
    for (int round = 0; round < 2 && !cluster.failed(); ++round) {
        const std::size_t old = cluster.random().below(cluster.nodes());
        const std::size_t other = (old + 1) % cluster.nodes();
        cluster.kill(old);
        fallBehind(cluster, Distance::beyondHistory);
        cluster.start(old);
        cluster.runUntil(kCatchUp, [&] { return cluster.replica(old).isInView(); });
        cluster.runFor(cluster.draw(0, 300));
        cluster.losePower(other);
        cluster.runFor(cluster.draw(10, 300));
        cluster.start(other);
        EXPECT_TRUE(recovers(cluster)) << "no write beside a member whose copy is slow\n"
                                       << cluster.describe();
        EXPECT_TRUE(cluster.runUntil(3 * kCatchUp, [&] { return cluster.isComplete(); }))
            << cluster.describe();
    }
    EXPECT_FALSE(cluster.failed()) << cluster.failure() << "\n" << cluster.describe();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartsTest, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace beechpoint::replica::simulation
