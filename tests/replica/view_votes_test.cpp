// Promises, accepted values and proposals of a replica in the agreement on the next view.
#include "replica_fixture.hpp"

namespace beechpoint::replica {
namespace {

TEST_F(ReplicaTest, PromisesOnlyOnceTheVoteIsDurable) {
    startWith(usedDisk());
    enterView(1);
    clearActions();
    receive("a", prepareFor(1));
    EXPECT_EQ(countSent<Promise>(), 0u);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_EQ(persists_[0].update.control->vote.promised.round, 1u);
    EXPECT_TRUE(persists_[0].update.force);
    receive("a", prepareFor(1));
    EXPECT_EQ(persists_.size(), 1u) << "the same vote is not stored twice at once";
    storeNextPersist(false);
    EXPECT_EQ(countSent<Promise>(), 0u) << "a vote that could not be stored is not given";
    receive("a", prepareFor(1));
    ASSERT_FALSE(persists_.empty());
    storeAllPersists();
    ASSERT_EQ(countSent<Promise>(), 1u);
    EXPECT_EQ(last<Promise>()->syncedEpoch, 2u);
    EXPECT_EQ(last<Promise>()->position, (Position{1, 3}));
    receive("a", prepareFor(1));
    EXPECT_EQ(countSent<Promise>(), 2u) << "a durable vote is repeated at once";
    receive("c", Prepare{ProposalNumber{0, "c", 1}, replica_->view(), {}, true});
    EXPECT_EQ(last<Reject>()->promised.round, 1u);
}

TEST_F(ReplicaTest, AcceptsOnlyOnceTheVoteIsDurable) {
    startWith(usedDisk());
    enterView(1);
    clearActions();
    View next = replica_->view();
    next.epoch = 3;
    const Accept accept{ProposalNumber{4, "a", 1}, replica_->view(), {}, next};
    receive("a", accept);
    EXPECT_EQ(countSent<Accepted>(), 0u);
    storeNextPersist(false);
    EXPECT_EQ(countSent<Accepted>(), 0u);
    receive("a", accept);
    storeAllPersists();
    EXPECT_EQ(countSent<Accepted>(), 1u);
    receive("c", Prepare{ProposalNumber{9, "c", 1}, replica_->view(), {}, true});
    storeAllPersists();
    ASSERT_TRUE(last<Promise>());
    EXPECT_EQ(last<Promise>()->value, next);
    EXPECT_EQ(last<Promise>()->accepted.round, 4u);
}

TEST_F(ReplicaTest, KeepsVoteAcrossRestart) {
    DurableState state = usedDisk();
    startWith(state);
    enterView(1);
    receive("a", prepareFor(5));
    for (const Persist& persist : persists_) apply(persist.update, state);
    state.control.view = replica_->view();
    state.syncedEpoch = 2;
    persists_.clear();
    actions_.clear();
    startWith(state);
    receive("c", Prepare{ProposalNumber{4, "c", 1}, state.control.view, {}, true});
    EXPECT_EQ(countSent<Reject>(), 1u);
    receive("a", Heartbeat{1, 1});
    EXPECT_TRUE(last<HeartbeatReply>()->status.sealed);
}

TEST_F(ReplicaTest, DoesNotVoteForOldDiskWithNewDisk) {
    startWith(usedDisk());
    storeAllPersists();
    View view{2, {memberOf("a"), memberOf("b"), memberOf("c")}, {1, 3}};
    view.members[1].incarnation = 999;
    receive("a", Prepare{ProposalNumber{1, "a", 1}, view, {}, true});
    storeAllPersists();
    EXPECT_EQ(countSent<Promise>(), 0u);
    EXPECT_EQ(replica_->view().epoch, 2u);
}

TEST_F(ReplicaTest, RefusesPrepareWithoutCause) {
    startWith(usedDisk());
    enterView(1);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("c", Commit{{1, 3}});
    answerHeartbeats({"a", "c"});
    receive("a", prepareFor(1, false));
    EXPECT_EQ(countSent<Promise>(), 0u);
    ASSERT_EQ(countSent<Reject>(), 1u);
    EXPECT_EQ(last<Reject>()->promised, ProposalNumber{});
    Status reporting;
    reporting.unresponsivePeers = {memberOf("c").internalAddress};
    advanceTime(300);
    answerHeartbeats({"a"}, reporting);
    receive("a", prepareFor(2, false));
    storeAllPersists();
    EXPECT_EQ(countSent<Promise>(), 1u);
}

TEST_F(ReplicaTest, DoesNotProposeWithoutContactWithMajority) {
    startWith(usedDisk());
    enterView(1);
    clearActions();
    advanceTime(6'000);
    EXPECT_EQ(countSent<Prepare>(), 0u);
    EXPECT_FALSE(replica_->isFresh(now_));
}

// Guards against: a view that could not change left no trace, so that operators saw only refused orders.
TEST_F(ReplicaTest, LogsOnceThatNoViewIsPossible) {
    startWith(usedDisk());
    enterView(0);
    clearActions();
    advanceTime(kSuspectTimeout + 2'000);
    const auto count = std::ranges::count_if(actions_, [](const Action& action) {
        const auto* log = std::get_if<Log>(&action);
        return log &&
               log->text.starts_with("no view can follow epoch 2: too few members without 10.0.0.1:7660");
    });
    EXPECT_EQ(count, 1);
}

TEST_F(ReplicaTest, ProposesViewWithoutUnresponsiveMember) {
    startWith(usedDisk());
    enterView(0);
    for (int count = 0; count < 60 && countSent<Prepare>() == 0; ++count) {
        answerHeartbeats({"a"});
        advanceTime(50);
    }
    ASSERT_GT(countSent<Prepare>("a"), 0u);
    const ProposalNumber proposal = last<Prepare>()->proposal;
    storeAllPersists();
    receive("a", Promise{proposal, 3, {}, std::nullopt, 2, {1, 3}, {1, 3}, false});
    ASSERT_GT(countSent<Accept>("a"), 0u);
    const View value = last<Accept>()->value;
    EXPECT_EQ(value.members.size(), 2u);
    EXPECT_FALSE(value.find("c"));
    storeAllPersists();
    EXPECT_EQ(replica_->view().epoch, 2u) << "one of three has accepted";
    receive("a", Accepted{proposal, 3});
    EXPECT_EQ(replica_->view(), value);
    EXPECT_GT(countSent<Decided>("c"), 0u);
}

}  // namespace
}  // namespace beechpoint::replica
