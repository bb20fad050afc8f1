// Combinations of faults that each leave a majority that can acknowledge writes, but that the assessment of the view could mistake for
// too many failed members.
#include <gtest/gtest.h>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kAcknowledgeWithin = 5'000;  // ack_ms
constexpr Millis kFoundWithin = 6'000;
constexpr Millis kSuspected = 1'500;  // a fault of this age has led to a view without the failed member
constexpr Millis kLongerThanStall = 1'500;

class ViewProgressTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    static ClusterOptions options(std::size_t zones = 3) {
        ClusterOptions options;
        options.seed = GetParam();
        options.zones = zones;
        return options;
    }
    static void found(Cluster& cluster) {
        cluster.startClient();
        ASSERT_TRUE(cluster.runUntil(kFoundWithin, [&] { return cluster.isComplete(); }))
            << cluster.describe();
        cluster.runFor(500);
    }
    static void expectAcknowledgement(Cluster& cluster) {
        const std::uint64_t before = cluster.acknowledged();
        EXPECT_TRUE(cluster.runUntil(kAcknowledgeWithin, [&] { return cluster.acknowledged() > before; }))
            << "no write is acknowledged any more\n"
            << cluster.describe() << cluster.trace();
        EXPECT_FALSE(cluster.failed()) << cluster.failure();
    }
    static void cut(Cluster& cluster, std::size_t one, std::size_t other) {
        cluster.partition(one, other, true);
        cluster.partition(other, one, true);
    }
    static std::size_t tailOf(Cluster& cluster) {
        for (std::size_t node = 0; node < cluster.nodes(); ++node)
            if (cluster.up(node) && cluster.replica(node).isTail()) return node;
        return 0;
    }
};

// Guards against: the tail of a view of two restarted while a batch was on its way to it, and the head blamed the new process for the
// batch that the old one had not stored.
TEST_P(ViewProgressTest, RestartedMemberIsNotBlamedForEarlierBatch) {
    Cluster cluster(options());
    found(cluster);
    const std::size_t lost = GetParam() % 3;
    cluster.losePower(lost);
    cluster.setGone(lost);
    cluster.runFor(kSuspected);
    std::size_t tail = 0;
    bool stopped = false;
    cluster.onNextWrite([&] {
        tail = tailOf(cluster);
        GetParam() % 2 ? cluster.kill(tail) : cluster.losePower(tail);
        stopped = true;
    });
    ASSERT_TRUE(cluster.runUntil(kFoundWithin, [&] { return stopped; }));
    cluster.runFor(kLongerThanStall);
    cluster.start(tail);
    expectAcknowledgement(cluster);
}

// Guards against: of two members whose link is cut the later one was always excluded, though without the other one the view would have
// met the tolerance.
TEST_P(ViewProgressTest, CutLinkExcludesMemberThatCanBeSpared) {
    Cluster cluster(options(2));  // zones of the members: 0, 1, 0
    found(cluster);
    cut(cluster, 0, 1);
    expectAcknowledgement(cluster);
}

// Guards against: the tail of a view of two excluded itself when its link to the head was cut, though a voter outside the chain could
// have joined it.
TEST_P(ViewProgressTest, TailGoesOnWithVoterOutsideChain) {
    Cluster cluster(options());
    found(cluster);
    const std::size_t outside = GetParam() % 3;
    cluster.losePower(outside);
    cluster.runFor(kSuspected);
    const std::size_t tail = tailOf(cluster);
    const std::size_t head = 3 - outside - tail;
    cut(cluster, head, tail);
    cluster.failDisk(head, true);
    cluster.start(outside);
    expectAcknowledgement(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ViewProgressTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
