// How a member reaches the starting state of a view, and when it reports that.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, SealedMemberDoesNotStoreStartingState) {
    startWith(usedDisk());
    enterView(1, {1, 9}, false);
    receive("a", prepareFor(1));
    clearActions();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    advanceTime(600);
    for (const Persist& persist : persists_) EXPECT_FALSE(persist.update.syncedEpoch);
}

TEST_F(ReplicaTest, ReportsSyncedOnlyOnceStartingStateIsStored) {
    startWith(usedDisk());
    enterView(1, {1, 9}, false);
    receive("a", Propose{true, {}, {{1, 9}, {}}});
    storeAllPersists();
    EXPECT_GT(countSent<SyncRequest>(), 0u);
    receive("a", SyncReply{{1, 3}, {{1, 9}, false, {{"k", "9"}}}});
    receive("a", Propose{true, {}, {{1, 9}, {}}});
    EXPECT_EQ(countSent<Propose>("c"), 0u);
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    storeAllPersists();
    EXPECT_EQ(countSent<Propose>("c"), 1u);
    EXPECT_TRUE(replica_->committedTable().empty()) << "not every member is known to hold it";
    EXPECT_FALSE(replica_->updateSince({1, 3}));
    receive("c", Commit{{1, 9}});
    EXPECT_EQ(replica_->committedTable().at("k"), "9");
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 9}));
}

TEST_F(ReplicaTest, ReportsSyncedWithEqualTableOnlyOnceThatIsStored) {
    startWith(usedDisk());
    enterView(1, {1, 3}, false);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    EXPECT_EQ(countSent<Propose>(), 0u);
    failAllPersists();
    EXPECT_EQ(countSent<Propose>(), 0u);
    advanceTime(600);
    storeAllPersists();
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    EXPECT_GT(countSent<Propose>("c"), 0u);
}

// The replica promised for epoch 3 based on its disk; the view of epoch 2 arrives only afterwards.
TEST_F(ReplicaTest, DoesNotRecordSyncedInEpochEnteredSealed) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    state.control.vote = Vote{3, ProposalNumber{1, "a", 1}, {}, std::nullopt};
    startWith(state);
    enterView(1, {1, 3}, false);
    advanceTime(600);
    for (const Persist& persist : persists_) {
        EXPECT_FALSE(persist.update.syncedEpoch);
        EXPECT_FALSE(persist.update.clearPending);
    }
}

TEST_F(ReplicaTest, WritesFullTableWithSyncedEpochAfterFailedTransfer) {
    startWith(usedDisk());
    enterView(1, {1, 9}, false);
    storeAllPersists();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    failAllPersists();  // it may still have been stored
    View next = replica_->view();
    next.epoch = 3;
    next.start = {1, 3};
    clearActions();
    receive("a", Decided{next}, 3);
    const auto claim = std::ranges::find_if(
        persists_, [](const Persist& persist) { return persist.update.syncedEpoch.has_value(); });
    ASSERT_NE(claim, persists_.end());
    ASSERT_TRUE(claim->update.table);
    EXPECT_TRUE(claim->update.table->whole);
    EXPECT_EQ(claim->update.table->position, (Position{1, 3}));
    EXPECT_EQ(claim->update.table->changes, (std::vector<Change>{{"k", "0"}}));
}

// Found by the simulation: a source with a complete history replied with a delta, which the requester could not apply.
TEST_F(ReplicaTest, RequestsFullTableAfterFailedTransfer) {
    startWith(usedDisk());
    enterView(1, {1, 9}, false);
    storeAllPersists();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    failAllPersists();
    clearActions();
    advanceTime(600);
    ASSERT_TRUE(last<SyncRequest>());
    EXPECT_TRUE(last<SyncRequest>()->full);
    receive("a", SyncReply{{1, 3}, {{1, 9}, false, {{"k", "9"}}}});
    storeAllPersists();
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    storeAllPersists();
    receive("a", Heartbeat{2, 2});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 2u);
}

TEST_F(ReplicaTest, AnswersRequestForFullTableWithFullTable) {
    enterInstalled(0);
    receive("c", SyncRequest{{1, 3}, false});
    ASSERT_TRUE(last<SyncReply>());
    EXPECT_FALSE(last<SyncReply>()->update.whole);
    receive("c", SyncRequest{{1, 3}, true});
    EXPECT_TRUE(last<SyncReply>()->update.whole);
    EXPECT_EQ(last<SyncReply>()->update.changes.size(), 1u);
}

TEST_F(ReplicaTest, DropsPendingBatchThatIsNotInStartingState) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    startWith(state);
    enterView(1, {1, 3}, false);
    const auto claim = std::ranges::find_if(
        persists_, [](const Persist& persist) { return persist.update.syncedEpoch.has_value(); });
    ASSERT_NE(claim, persists_.end());
    EXPECT_TRUE(claim->update.clearPending);
    EXPECT_FALSE(claim->update.pending);
}

TEST_F(ReplicaTest, CommitsPendingBatchInStartingStateOnceInstalled) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    startWith(state);
    enterView(1, {1, 4});
    receive("a", Propose{true, {}, {{1, 4}, {}}});
    EXPECT_TRUE(replica_->committedTable().empty());
    receive("c", Commit{{1, 4}});
    EXPECT_EQ(replica_->committedTable().at("k"), "4");
}

}  // namespace
}  // namespace beechpoint::replica
