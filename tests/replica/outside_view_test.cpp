// Processes outside the view, and the disk state that a replica reports.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, LearnerAsksAnotherSourceAfterTimeout) {
    startWith(usedDisk());
    receive("a", Decided{View{2, {memberOf("a"), memberOf("c")}, {1, 5}}}, 2);
    storeAllPersists();
    EXPECT_EQ(countSent<SyncRequest>("a"), 1u);
    EXPECT_EQ(last<SyncRequest>()->position, (Position{1, 3}));
    advanceTime(kLearnerRetryInterval - 100);
    EXPECT_EQ(countSent<SyncRequest>(), 1u);
    advanceTime(200);
    EXPECT_EQ(countSent<SyncRequest>("c"), 1u);
    EXPECT_EQ(countSent<SyncRequest>(), 2u);
}

TEST_F(ReplicaTest, LearnerStoresCopyWithoutSyncedEpoch) {
    startWith(usedDisk());
    receive("a", Decided{View{2, {memberOf("a"), memberOf("c")}, {1, 5}}}, 2);
    storeAllPersists();
    receive("a", SyncReply{{1, 3}, TableUpdate{{2, 6}, false, {{"k", "6"}}}});
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_FALSE(persists_[0].update.syncedEpoch.has_value());
    EXPECT_EQ(persists_[0].update.table->position, (Position{2, 6}));
    storeAllPersists();
    EXPECT_EQ(replica_->committedPosition(), Position{});
    receive("c", Heartbeat{1, now_});
    EXPECT_EQ(last<HeartbeatReply>()->status.stored, (Position{2, 6}));
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    // Older replies and deltas on another state are dropped.
    receive("a", SyncReply{{2, 6}, TableUpdate{{2, 5}, false, {{"k", "5"}}}});
    receive("a", SyncReply{{1, 3}, TableUpdate{{2, 7}, false, {{"k", "7"}}}});
    EXPECT_TRUE(persists_.empty());
}

TEST_F(ReplicaTest, AnswersLearnerOnlyOnceInstalled) {
    startWith(usedDisk());
    enterView(1);
    receive("d", SyncRequest{{1, 3}, true});
    EXPECT_EQ(countSent<SyncReply>("d"), 0u);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("c", Commit{{1, 3}});
    receive("a", kPropose);
    storeAllPersists();
    receive("d", SyncRequest{{1, 3}, true});
    ASSERT_EQ(countSent<SyncReply>("d"), 1u);
    // The pending batch is not included: it is not known yet whether it will be committed.
    EXPECT_EQ(last<SyncReply>()->update.position, (Position{1, 3}));
    EXPECT_TRUE(last<SyncReply>()->update.whole);
    receive("c", Commit{kBatch.position});
    receive("d", SyncRequest{{1, 3}});
    EXPECT_EQ(last<SyncReply>()->update.position, kBatch.position);
    EXPECT_FALSE(last<SyncReply>()->update.whole);
}

TEST_F(ReplicaTest, BoundsNumberOfKnownJoiners) {
    enterInstalled(0);
    for (int count = 0; count < 500; ++count) {
        Member stranger = memberOf("a");
        stranger.name = fmt::format("s{}", count);
        stranger.internalAddress = fmt::format("10.9.{}.{}:7660", count / 200, count % 200);
        handle(MessageReceived{Message{stranger, 2, Join{}}});
    }
    clearActions();
    advanceTime(260);
    EXPECT_LE(countSent<Heartbeat>(), 2 * kMaxPeers);
    EXPECT_GT(countSent<Heartbeat>("a"), 0u);
    EXPECT_GT(countSent<Heartbeat>("c"), 0u);
}

TEST_F(ReplicaTest, ReportsStuckDiskInStatus) {
    enterInstalled(1);
    receive("a", kPropose);
    receive("a", Heartbeat{1, 1});
    EXPECT_FALSE(last<HeartbeatReply>()->status.diskFailing);
    advanceTime(kDiskWriteTimeout + 100);
    receive("a", Heartbeat{2, 2});
    EXPECT_TRUE(last<HeartbeatReply>()->status.diskFailing);
    storeAllPersists();
    advanceTime(50);
    receive("a", Heartbeat{3, 3});
    EXPECT_FALSE(last<HeartbeatReply>()->status.diskFailing);
}

}  // namespace
}  // namespace beechpoint::replica
