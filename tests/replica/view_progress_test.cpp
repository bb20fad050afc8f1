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
constexpr Millis kLongerThanHistory = 40'000;  // kMaxHistoryBatches of the client's batches
constexpr Millis kBatchWithin = 500;
constexpr Millis kLearnedWithin = 500;
constexpr Millis kTransit = 14;  // all messages that were sent have arrived

class ViewProgressTest : public ::testing::TestWithParam<std::uint64_t> {
protected:
    static ClusterOptions options(std::size_t zones = 3) {
        ClusterOptions options;
        options.seed = GetParam();
        options.zones = zones;
        return options;
    }
    // Members 0 and 2 share a zone. Full tables are sent in chunks of one or two rows, as in every other seed (Cluster::start).
    static ClusterOptions smallChunks() {
        ClusterOptions options;
        options.seed = 2 * GetParam() + 1;
        options.zones = 2;
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

// Guards against: a learner had received chunks that its source, the tail, sent with a batch of whose commitment the head had not heard;
// the tail was lost for good, and the learner dropped the chunks of the head, which has this batch only as a pending one.
TEST_P(ViewProgressTest, TransferOfLostMemberIsBegunAnewAtHeadThatIsBehind) {
    Cluster cluster(smallChunks());
    found(cluster);
    static constexpr std::size_t learner = 0, head = 1,
                                 tail = 2;  // a learner asks a member of its zone first
    cluster.losePower(learner);
    cluster.runFor(kLongerThanHistory);
    ASSERT_EQ(tailOf(cluster), tail);
    cluster.partition(tail, head, true);
    const auto isTailAhead = [&] {
        return cluster.replica(tail).committedPosition() > cluster.replica(head).committedPosition();
    };
    ASSERT_TRUE(cluster.runUntil(kBatchWithin, isTailAhead));
    bool lost = false;
    cluster.onSend([&](std::size_t from, const Body& body) {
        const auto* reply = std::get_if<SyncReply>(&body);
        if (lost || from != tail || !reply || !reply->more) return;
        lost = true;
        cluster.at(cluster.now() + kTransit, [&cluster] {
            cluster.losePower(tail);
            cluster.setGone(tail);
        });
    });
    cluster.start(learner);
    ASSERT_TRUE(cluster.runUntil(kLearnedWithin, [&] { return lost; })) << "no transfer began";
    cluster.runFor(kTransit);
    expectAcknowledgement(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ViewProgressTest, ::testing::Range<std::uint64_t>(1, 13));

}  // namespace
}  // namespace beechpoint::replica::simulation
