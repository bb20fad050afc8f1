// Batches down the chain and commits back up, and the order of storing and sending.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, MiddleMemberStoresBatchBeforePassingItOn) {
    enterInstalled(1);
    clearActions();
    receive("a", kPropose);
    EXPECT_EQ(countSent<Propose>(), 0u);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_TRUE(persists_[0].update.force);
    storeNextPersist(false);
    EXPECT_EQ(countSent<Propose>(), 0u);
    advanceTime(600);
    storeAllPersists();  // the disk works again
    receive("a", kPropose);
    ASSERT_FALSE(persists_.empty());
    storeAllPersists();
    EXPECT_EQ(countSent<Propose>("c"), 1u);
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
    receive("c", Commit{{2, 4}});
    EXPECT_EQ(replica_->committedPosition(), (Position{2, 4}));
    EXPECT_EQ(replica_->committedTable().at("k"), "1");
    EXPECT_EQ(countSent<Commit>("a"), 1u);
    receive("a", kPropose);
    EXPECT_EQ(countSent<Commit>("a"), 2u) << "a repeated batch that is committed is confirmed again";
}

TEST_F(ReplicaTest, TailCommitsBatchOnceStored) {
    enterInstalled(2);
    clearActions();
    receive("c", kPropose);
    EXPECT_EQ(countSent<Commit>(), 0u);
    storeNextPersist();
    EXPECT_EQ(countSent<Commit>("c"), 1u);
    ASSERT_TRUE(last<Committed>());
    EXPECT_EQ(last<Committed>()->batch, kBatch);
}

TEST_F(ReplicaTest, AcceptsBatchesOnlyFromPredecessorInSameEpoch) {
    enterInstalled(1);
    receive("c", kPropose);
    receive("a", kPropose, 1);
    Message restarted{memberOf("a"), 2, kPropose};
    restarted.from.session = 77;
    handle(MessageReceived{restarted});
    receive("a", Propose{false, {2, 4}, {{2, 5}, {}}});
    storeAllPersists();
    clearActions();
    receive("c", Commit{{2, 5}});
    EXPECT_EQ(countSent<Propose>(), 0u);
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
}

TEST_F(ReplicaTest, SealedMemberPassesOnAndCommitsNothing) {
    enterInstalled(1);
    receive("a", kPropose);
    receive("a", prepareFor(1));
    clearActions();
    storeAllPersists();
    EXPECT_EQ(countSent<Propose>(), 0u) << "stored, but promised meanwhile";
    ASSERT_TRUE(last<Promise>());
    EXPECT_EQ(last<Promise>()->position, (Position{2, 4})) << "the promise tells of the pending batch";
    receive("c", Commit{{2, 4}});
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
    EXPECT_FALSE(replica_->isFresh(now_));
}

TEST_F(ReplicaTest, RepeatsFailedApplyWithNextBatch) {
    enterInstalled(2);
    receive("c", kPropose);
    storeNextPersist();
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_FALSE(persists_[0].update.force);
    storeNextPersist(false);
    advanceTime(600);
    storeAllPersists();
    receive("c", Propose{false, {2, 4}, {{2, 5}, {{"k", "2"}}}});
    ASSERT_EQ(persists_.size(), 1u);
    ASSERT_TRUE(persists_[0].update.table);
    EXPECT_EQ(persists_[0].update.table->position, (Position{2, 4}));
    EXPECT_EQ(persists_[0].update.table->changes, kBatch.changes);
}

}  // namespace
}  // namespace beechpoint::replica
