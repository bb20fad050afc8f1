// Writes at the head: when they are acknowledged, rejected or unavailable.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, HeadAcknowledgesWriteOnceCommitReturns) {
    enterInstalled(0);
    clearActions();
    handle(ClientWrite{7, {{"k", "1"}}});
    EXPECT_EQ(countSent<Propose>(), 0u);
    handle(ClientWrite{8, {{"k", "2"}}});
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->token, 8u) << "one at a time";
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
    storeNextPersist();
    ASSERT_EQ(countSent<Propose>("a"), 1u);
    EXPECT_EQ(last<Propose>()->batch.position, (Position{2, 4}));
    clearActions();
    advanceTime(300);
    EXPECT_EQ(countSent<Propose>("a"), 1u) << "sent again";
    EXPECT_FALSE(last<WriteDone>());
    receive("a", Commit{{2, 4}});
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->token, 7u);
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::committed);
    EXPECT_TRUE(replica_->isWritable());
}

TEST_F(ReplicaTest, HeadRefusesWritesBelowTolerance) {
    tolerance_ = {3, 1};
    enterInstalled(0);
    EXPECT_TRUE(replica_->isHead());
    EXPECT_FALSE(replica_->isWritable());
    handle(ClientWrite{7, {}});
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
}

TEST_F(ReplicaTest, AnswersWriteUnavailableAfterTimeout) {
    enterInstalled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    advanceTime(kWriteTimeout + 100);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
    EXPECT_FALSE(replica_->isWritable()) << "the batch is still on its way";
}

TEST_F(ReplicaTest, AcknowledgesWriteThatNextViewStartsFrom) {
    enterInstalled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    storeAllPersists();
    View next = replica_->view();
    next.epoch = 3;
    next.start = {2, 4};
    receive("a", Decided{next}, 3);
    storeAllPersists();
    EXPECT_FALSE(last<WriteDone>());
    receive("a", Commit{{2, 4}}, 3);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::committed);
}

TEST_F(ReplicaTest, AnswersWriteUnavailableIfNextViewLacksIt) {
    enterInstalled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    storeAllPersists();
    View next = replica_->view();
    next.epoch = 3;
    receive("a", Decided{next}, 3);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
}

}  // namespace
}  // namespace beechpoint::replica
