// Freshness for polls, and read barriers at the tail.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, IsFreshWhileInContactWithMajority) {
    enterInstalled(1);
    EXPECT_FALSE(replica_->isFresh(now_));
    answerHeartbeats({"c"});
    EXPECT_TRUE(replica_->isFresh(now_));
    EXPECT_TRUE(replica_->isFresh(now_ + kFreshDuration));
    EXPECT_FALSE(replica_->isFresh(now_ + kFreshDuration + 1));
}

TEST_F(ReplicaTest, IsNotFreshByAnswersOfSealedMembersOrOtherEpochs) {
    enterInstalled(1);
    Status sealed;
    sealed.sealed = true;
    const std::vector<Action> saved = actions_;
    answerHeartbeats({"c"}, sealed);
    EXPECT_FALSE(replica_->isFresh(now_));
    actions_ = saved;
    answerHeartbeats({"a"}, {}, 1);
    EXPECT_FALSE(replica_->isFresh(now_));
}

TEST_F(ReplicaTest, IsNotFreshByAnswersToHeartbeatsBeforePause) {
    enterInstalled(1);
    now_ += 5'000;
    answerHeartbeats({"a", "c"});
    EXPECT_FALSE(replica_->isFresh(now_));
}

TEST_F(ReplicaTest, ReadWaitsForHeartbeatsSentAfterIt) {
    enterInstalled(2);
    const std::vector<Action> early = std::exchange(actions_, {});
    handle(ReadBarrier{5});
    const std::vector<Action> late = std::exchange(actions_, early);
    answerHeartbeats({"a", "c"});
    EXPECT_FALSE(last<ReadDone>());
    actions_ = late;
    answerHeartbeats({"a"});
    if (!last<ReadDone>()) {  // the round for the read was rate-limited
        advanceTime(50);
        answerHeartbeats({"a"});
    }
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_TRUE(last<ReadDone>()->ok);
}

TEST_F(ReplicaTest, ReadFailsAtOnceOffTailAndAfterTimeoutAtTail) {
    enterInstalled(1);
    handle(ReadBarrier{5});
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_FALSE(last<ReadDone>()->ok) << "not the tail";
    enterInstalled(2);
    clearActions();
    handle(ReadBarrier{6});
    advanceTime(kReadTimeout + 100);
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_FALSE(last<ReadDone>()->ok);
}

}  // namespace
}  // namespace beechpoint::replica
