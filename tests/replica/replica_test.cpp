// One replica, driven by hand: what it sends when, and what it waits for.
#include "replica/replica.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace beechpoint::replica {
namespace {

constexpr Millis kBegin = 1'000'000;

Member memberOf(const std::string& name) {
    const std::string address = "10.0.0." + std::to_string(name.front() - 'a' + 1);
    return {name,          static_cast<std::uint64_t>(name.front()), 1, address + ":7660", address + ":8146",
            "zone-" + name};
}

// The replica "b"; the test plays the others and the disk.
class ReplicaTest : public ::testing::Test {
protected:
    void startWith(DurableState state, bool bootstrap = false,
                   std::vector<std::string> seeds = {memberOf("a").controlAddress,
                                                     memberOf("b").controlAddress,
                                                     memberOf("c").controlAddress}) {
        Settings settings;
        settings.self = memberOf("b");
        settings.seeds = std::move(seeds);
        settings.bootstrap = bootstrap;
        settings.tolerance = tolerance_;
        replica_ = std::make_unique<Replica>(settings, std::move(state), ++seed_, now_);
        handle(Tick{});
    }

    // A disk that was used in epoch 1.
    static DurableState usedDisk() {
        DurableState state;
        state.control.incarnation = memberOf("b").incarnation;
        state.syncedEpoch = 1;
        state.table = {{"k", "0"}};
        state.position = {1, 3};
        return state;
    }

    // In the view of epoch 2 at this place, the starting state stored.
    void enter(std::size_t place, Position start = {1, 3}, bool store = true) {
        View view{2, {memberOf("a"), memberOf("c")}, start};
        view.members.insert(view.members.begin() + static_cast<std::ptrdiff_t>(place), replica_->self());
        receive("a", Decided{view}, 2);
        if (store) storeAll();
    }

    void enterSettled(std::size_t place) {
        startWith(usedDisk());
        enter(place);
        if (place > 0) receive(before(place), Propose{true, {}, {{1, 3}, {}}});
        if (place < 2) receive(after(place), Commit{{1, 3}});
    }
    static std::string before(std::size_t place) { return place == 1 ? "a" : "c"; }
    static std::string after(std::size_t place) { return place == 0 ? "a" : "c"; }

    void handle(const Event& event) {
        std::vector<Action> actions;
        replica_->handle(now_, event, actions);
        for (Action& action : actions) {
            if (const auto* persist = std::get_if<Persist>(&action)) persists_.push_back(*persist);
            actions_.push_back(std::move(action));
        }
    }
    void receive(const std::string& from, Body body, std::uint64_t epoch = 2) {
        handle(MessageReceived{Message{memberOf(from), epoch, std::move(body)}});
    }
    void storeNext(bool works = true) {
        ASSERT_FALSE(persists_.empty());
        const std::uint64_t token = persists_.front().token;
        persists_.erase(persists_.begin());
        if (works)
            handle(Persisted{token});
        else
            handle(PersistFailed{token, "full"});
    }
    void storeAll(bool works = true) {
        for (int count = 0; count < 20 && !persists_.empty(); ++count) storeNext(works);
    }
    void failAll() { storeAll(false); }
    // Answers all heartbeats sent so far but not answered, as these members; then forgets the actions.
    void answerHeartbeats(const std::vector<std::string>& members, Status status = {},
                          std::uint64_t epoch = 2) {
        const std::vector<Action> sent = std::exchange(actions_, {});
        for (const Action& action : sent) {
            const auto* send = std::get_if<Send>(&action);
            if (!send) continue;
            const auto* heartbeat = std::get_if<Heartbeat>(&send->message.body);
            if (!heartbeat) continue;
            for (const std::string& name : members)
                if (memberOf(name).internalAddress == send->address)
                    receive(name,
                            HeartbeatReply{heartbeat->sequence, heartbeat->sentAt, send->message.from.session,
                                           status},
                            epoch);
        }
    }
    void pass(Millis span) {
        const Millis end = now_ + span;
        while (now_ < end) {
            now_ = std::min(end, now_ + 50);
            handle(Tick{});
        }
    }

    template <class Kind>
    std::size_t sent(const std::string& to = {}) const {
        return static_cast<std::size_t>(std::ranges::count_if(actions_, [&](const Action& action) {
            const auto* send = std::get_if<Send>(&action);
            return send && std::holds_alternative<Kind>(send->message.body) &&
                   (to.empty() || send->address == memberOf(to).internalAddress);
        }));
    }
    template <class Kind>
    const Kind* last() const {
        const Kind* found = nullptr;
        for (const Action& action : actions_) {
            if constexpr (std::is_constructible_v<Body, Kind>) {
                const auto* send = std::get_if<Send>(&action);
                if (send && std::holds_alternative<Kind>(send->message.body))
                    found = &std::get<Kind>(send->message.body);
            } else if (const auto* one = std::get_if<Kind>(&action)) {
                found = one;
            }
        }
        return found;
    }
    void forget() { actions_.clear(); }

    Prepare prepareFor(std::uint64_t round, bool observed = true) const {
        return Prepare{ProposalNumber{round, "a", 1}, replica_->view(), {}, observed};
    }

    Tolerance tolerance_{1, 1};
    Millis now_ = kBegin;
    std::uint64_t seed_ = 0;
    std::unique_ptr<Replica> replica_;
    std::vector<Action> actions_;
    std::vector<Persist> persists_;
};

const Batch kBatch{{2, 4}, {{"k", "1"}}};
const Propose kPropose{false, {1, 3}, kBatch};

// ---- Identity and founding

TEST_F(ReplicaTest, SaysNothingBeforeItsIdentityIsDurable) {
    startWith({}, true);
    receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, {}, true}, 0);
    pass(300);
    EXPECT_EQ(
        std::ranges::count_if(actions_, [](const Action& a) { return std::holds_alternative<Send>(a); }), 0);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_NE(persists_[0].update.control->incarnation, 0u);
    EXPECT_EQ(persists_[0].update.control->founders.size(), 3u);
    storeNext();
    pass(300);
    EXPECT_GT(sent<Join>(), 0u);
}

TEST_F(ReplicaTest, AnEmptyDiskFoundsOnlyWithBootstrapAndAmongTheSeeds) {
    const std::vector<std::string> founders{memberOf("a").controlAddress, memberOf("b").controlAddress,
                                            memberOf("c").controlAddress};
    const std::vector<std::string> others{memberOf("a").controlAddress, memberOf("c").controlAddress};
    const auto votes = [&](bool bootstrap, const std::vector<std::string>& seeds, DurableState state) {
        actions_.clear();
        persists_.clear();
        startWith(std::move(state), bootstrap, seeds);
        storeAll();
        receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, founders, true}, 0);
        storeAll();
        pass(5'000);
        return sent<Promise>() + sent<Prepare>();
    };
    EXPECT_GT(votes(true, founders, {}), 0u);
    EXPECT_EQ(votes(false, founders, {}), 0u);
    EXPECT_EQ(votes(true, others, {}), 0u);
    DurableState founder;
    founder.control.incarnation = 7;
    founder.control.founders = founders;
    EXPECT_GT(votes(false, founders, founder), 0u);
    DurableState joiner;
    joiner.control.incarnation = 7;
    EXPECT_EQ(votes(true, founders, joiner), 0u);
}

TEST_F(ReplicaTest, FoundersWithOtherSeedsDoNotVoteForEachOther) {
    startWith({}, true);
    storeAll();
    receive("a", Prepare{ProposalNumber{1, "a", 1}, {}, {memberOf("a").controlAddress}, true}, 0);
    storeAll();
    EXPECT_EQ(sent<Promise>(), 0u);
}

TEST_F(ReplicaTest, AsksTheSeedsOfTheMomentToTakeItIn) {
    startWith(usedDisk());
    forget();
    pass(300);
    EXPECT_GT(sent<Join>("c"), 0u);
    handle(SeedsChanged{{memberOf("d").controlAddress}});
    forget();
    pass(300);
    EXPECT_EQ(sent<Join>("c"), 0u);
    EXPECT_GT(sent<Join>("d"), 0u);
}

// ---- Votes

TEST_F(ReplicaTest, PromisesOnlyOnceTheVoteIsDurable) {
    startWith(usedDisk());
    enter(1);
    forget();
    receive("a", prepareFor(1));
    EXPECT_EQ(sent<Promise>(), 0u);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_EQ(persists_[0].update.control->vote.promised.round, 1u);
    EXPECT_TRUE(persists_[0].update.force);
    receive("a", prepareFor(1));
    EXPECT_EQ(persists_.size(), 1u) << "the same vote is not stored twice at once";
    storeNext(false);
    EXPECT_EQ(sent<Promise>(), 0u) << "a vote that could not be stored is not given";
    receive("a", prepareFor(1));
    ASSERT_FALSE(persists_.empty());
    storeAll();
    ASSERT_EQ(sent<Promise>(), 1u);
    EXPECT_EQ(last<Promise>()->syncedEpoch, 2u);
    EXPECT_EQ(last<Promise>()->position, (Position{1, 3}));
    receive("a", prepareFor(1));
    EXPECT_EQ(sent<Promise>(), 2u) << "a durable vote is repeated at once";
    receive("c", Prepare{ProposalNumber{0, "c", 1}, replica_->view(), {}, true});
    EXPECT_EQ(last<Refuse>()->promised.round, 1u);
}

TEST_F(ReplicaTest, AcceptsOnlyOnceTheVoteIsDurable) {
    startWith(usedDisk());
    enter(1);
    forget();
    View next = replica_->view();
    next.epoch = 3;
    const Accept accept{ProposalNumber{4, "a", 1}, replica_->view(), {}, next};
    receive("a", accept);
    EXPECT_EQ(sent<Accepted>(), 0u);
    storeNext(false);
    EXPECT_EQ(sent<Accepted>(), 0u);
    receive("a", accept);
    storeAll();
    EXPECT_EQ(sent<Accepted>(), 1u);
    receive("c", Prepare{ProposalNumber{9, "c", 1}, replica_->view(), {}, true});
    storeAll();
    ASSERT_TRUE(last<Promise>());
    EXPECT_EQ(last<Promise>()->value, next);
    EXPECT_EQ(last<Promise>()->accepted.round, 4u);
}

TEST_F(ReplicaTest, AVoteOutlivesTheProcess) {
    DurableState state = usedDisk();
    startWith(state);
    enter(1);
    receive("a", prepareFor(5));
    for (const Persist& persist : persists_) apply(persist.update, state);
    state.control.view = replica_->view();
    state.syncedEpoch = 2;
    persists_.clear();
    actions_.clear();
    startWith(state);
    receive("c", Prepare{ProposalNumber{4, "c", 1}, state.control.view, {}, true});
    EXPECT_EQ(sent<Refuse>(), 1u);
    receive("a", Heartbeat{1, 1});
    EXPECT_TRUE(last<HeartbeatReply>()->status.sealed);
}

TEST_F(ReplicaTest, ANewDiskHasNoVoteOfTheOldOne) {
    startWith(usedDisk());
    storeAll();
    View view{2, {memberOf("a"), memberOf("b"), memberOf("c")}, {1, 3}};
    view.members[1].incarnation = 999;
    receive("a", Prepare{ProposalNumber{1, "a", 1}, view, {}, true});
    storeAll();
    EXPECT_EQ(sent<Promise>(), 0u);
    EXPECT_EQ(replica_->view().epoch, 2u);
}

TEST_F(ReplicaTest, RefusesAViewChangeWithoutCause) {
    startWith(usedDisk());
    enter(1);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("c", Commit{{1, 3}});
    answerHeartbeats({"a", "c"});
    receive("a", prepareFor(1, false));
    EXPECT_EQ(sent<Promise>(), 0u);
    ASSERT_EQ(sent<Refuse>(), 1u);
    EXPECT_EQ(last<Refuse>()->promised, ProposalNumber{});
    Status trouble;
    trouble.unresponsivePeers = {memberOf("c").internalAddress};
    pass(300);
    answerHeartbeats({"a"}, trouble);
    receive("a", prepareFor(2, false));
    storeAll();
    EXPECT_EQ(sent<Promise>(), 1u);
}

TEST_F(ReplicaTest, DoesNotProposeUnlessAMajorityAnswers) {
    startWith(usedDisk());
    enter(1);
    forget();
    pass(6'000);
    EXPECT_EQ(sent<Prepare>(), 0u);
    EXPECT_FALSE(replica_->fresh(now_));
}

TEST_F(ReplicaTest, ProposesAViewWithoutASilentMember) {
    startWith(usedDisk());
    enter(0);
    for (int count = 0; count < 60 && sent<Prepare>() == 0; ++count) {
        answerHeartbeats({"a"});
        pass(50);
    }
    ASSERT_GT(sent<Prepare>("a"), 0u);
    const ProposalNumber proposal = last<Prepare>()->proposal;
    storeAll();
    receive("a", Promise{proposal, 3, {}, std::nullopt, 2, {1, 3}, {1, 3}, false});
    ASSERT_GT(sent<Accept>("a"), 0u);
    const View value = last<Accept>()->value;
    EXPECT_EQ(value.members.size(), 2u);
    EXPECT_FALSE(value.find("c"));
    storeAll();
    EXPECT_EQ(replica_->view().epoch, 2u) << "one of three has accepted";
    receive("a", Accepted{proposal, 3});
    EXPECT_EQ(replica_->view(), value);
    EXPECT_GT(sent<Decided>("c"), 0u);
}

// ---- Chain

TEST_F(ReplicaTest, AMiddleMemberStoresBeforeItPassesOn) {
    enterSettled(1);
    forget();
    receive("a", kPropose);
    EXPECT_EQ(sent<Propose>(), 0u);
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_TRUE(persists_[0].update.force);
    storeNext(false);
    EXPECT_EQ(sent<Propose>(), 0u);
    pass(600);
    storeAll();  // the disk works again
    receive("a", kPropose);
    ASSERT_FALSE(persists_.empty());
    storeAll();
    EXPECT_EQ(sent<Propose>("c"), 1u);
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
    receive("c", Commit{{2, 4}});
    EXPECT_EQ(replica_->committedPosition(), (Position{2, 4}));
    EXPECT_EQ(replica_->committedTable().at("k"), "1");
    EXPECT_EQ(sent<Commit>("a"), 1u);
    receive("a", kPropose);
    EXPECT_EQ(sent<Commit>("a"), 2u) << "a repeated batch that is committed is confirmed again";
}

TEST_F(ReplicaTest, TheTailCommitsOnceItHasStored) {
    enterSettled(2);
    forget();
    receive("c", kPropose);
    EXPECT_EQ(sent<Commit>(), 0u);
    storeNext();
    EXPECT_EQ(sent<Commit>("c"), 1u);
    ASSERT_TRUE(last<Committed>());
    EXPECT_EQ(last<Committed>()->batch, kBatch);
}

TEST_F(ReplicaTest, TakesBatchesOnlyFromItsPredecessorInThisEpoch) {
    enterSettled(1);
    receive("c", kPropose);
    receive("a", kPropose, 1);
    Message restarted{memberOf("a"), 2, kPropose};
    restarted.from.session = 77;
    handle(MessageReceived{restarted});
    receive("a", Propose{false, {2, 4}, {{2, 5}, {}}});
    storeAll();
    forget();
    receive("c", Commit{{2, 5}});
    EXPECT_EQ(sent<Propose>(), 0u);
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
}

TEST_F(ReplicaTest, ASealedMemberTakesNoPart) {
    enterSettled(1);
    receive("a", kPropose);
    receive("a", prepareFor(1));
    forget();
    storeAll();
    EXPECT_EQ(sent<Propose>(), 0u) << "stored, but promised meanwhile";
    ASSERT_TRUE(last<Promise>());
    EXPECT_EQ(last<Promise>()->position, (Position{2, 4})) << "the promise tells of the pending batch";
    receive("c", Commit{{2, 4}});
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 3}));
    EXPECT_FALSE(replica_->fresh(now_));
}

TEST_F(ReplicaTest, ASealedMemberDoesNotTakeTheStartingState) {
    startWith(usedDisk());
    enter(1, {1, 9}, false);
    receive("a", prepareFor(1));
    forget();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    pass(600);
    for (const Persist& persist : persists_) EXPECT_FALSE(persist.update.syncedEpoch);
}

TEST_F(ReplicaTest, ClaimsTheStartingStateOnlyOnceItIsStored) {
    startWith(usedDisk());
    enter(1, {1, 9}, false);
    receive("a", Propose{true, {}, {{1, 9}, {}}});
    storeAll();
    EXPECT_GT(sent<SyncRequest>(), 0u);
    receive("a", SyncReply{{1, 3}, {{1, 9}, false, {{"k", "9"}}}});
    receive("a", Propose{true, {}, {{1, 9}, {}}});
    EXPECT_EQ(sent<Propose>("c"), 0u);
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    storeAll();
    EXPECT_EQ(sent<Propose>("c"), 1u);
    EXPECT_TRUE(replica_->committedTable().empty()) << "not every member is known to hold it";
    EXPECT_FALSE(replica_->updateSince({1, 3}));
    receive("c", Commit{{1, 9}});
    EXPECT_EQ(replica_->committedTable().at("k"), "9");
    EXPECT_EQ(replica_->committedPosition(), (Position{1, 9}));
}

TEST_F(ReplicaTest, ClaimsAnEqualTableOnlyOnceThatIsStored) {
    startWith(usedDisk());
    enter(1, {1, 3}, false);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    EXPECT_EQ(sent<Propose>(), 0u);
    failAll();
    EXPECT_EQ(sent<Propose>(), 0u);
    pass(600);
    storeAll();
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    EXPECT_GT(sent<Propose>("c"), 0u);
}

// It has promised for epoch 3 on the ground of what its disk held; the view of epoch 2 reaches it only then.
TEST_F(ReplicaTest, DoesNotClaimTheStartingStateOfAnEpochThatItEntersSealed) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    state.control.vote = Vote{3, ProposalNumber{1, "a", 1}, {}, std::nullopt};
    startWith(state);
    enter(1, {1, 3}, false);
    pass(600);
    for (const Persist& persist : persists_) {
        EXPECT_FALSE(persist.update.syncedEpoch);
        EXPECT_FALSE(persist.update.clearPending);
    }
}

TEST_F(ReplicaTest, AFailedSyncMakesTheNextClaimWriteTheWholeTable) {
    startWith(usedDisk());
    enter(1, {1, 9}, false);
    storeAll();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    failAll();  // it may be there all the same
    View next = replica_->view();
    next.epoch = 3;
    next.start = {1, 3};
    forget();
    receive("a", Decided{next}, 3);
    const auto claim = std::ranges::find_if(
        persists_, [](const Persist& persist) { return persist.update.syncedEpoch.has_value(); });
    ASSERT_NE(claim, persists_.end());
    ASSERT_TRUE(claim->update.table);
    EXPECT_TRUE(claim->update.table->whole);
    EXPECT_EQ(claim->update.table->position, (Position{1, 3}));
    EXPECT_EQ(claim->update.table->changes, (std::vector<Change>{{"k", "0"}}));
}

// Found by the simulation: a source with its whole history answered with a delta, which the asker could not use.
TEST_F(ReplicaTest, AFailedSyncAsksForTheWholeTable) {
    startWith(usedDisk());
    enter(1, {1, 9}, false);
    storeAll();
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    failAll();
    forget();
    pass(600);
    ASSERT_TRUE(last<SyncRequest>());
    EXPECT_TRUE(last<SyncRequest>()->full);
    receive("a", SyncReply{{1, 3}, {{1, 9}, false, {{"k", "9"}}}});
    storeAll();
    receive("a", Heartbeat{1, 1});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    receive("a", SyncReply{{1, 3}, {{1, 9}, true, {{"k", "9"}}}});
    storeAll();
    receive("a", Heartbeat{2, 2});
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 2u);
}

TEST_F(ReplicaTest, GivesTheWholeTableToWhoAsksForIt) {
    enterSettled(0);
    receive("c", SyncRequest{{1, 3}, false});
    ASSERT_TRUE(last<SyncReply>());
    EXPECT_FALSE(last<SyncReply>()->update.whole);
    receive("c", SyncRequest{{1, 3}, true});
    EXPECT_TRUE(last<SyncReply>()->update.whole);
    EXPECT_EQ(last<SyncReply>()->update.changes.size(), 1u);
}

TEST_F(ReplicaTest, AFoldThatFailedIsRepeatedWithTheNextBatch) {
    enterSettled(2);
    receive("c", kPropose);
    storeNext();
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_FALSE(persists_[0].update.force);
    storeNext(false);
    pass(600);
    storeAll();
    receive("c", Propose{false, {2, 4}, {{2, 5}, {{"k", "2"}}}});
    ASSERT_EQ(persists_.size(), 1u);
    ASSERT_TRUE(persists_[0].update.table);
    EXPECT_EQ(persists_[0].update.table->position, (Position{2, 4}));
    EXPECT_EQ(persists_[0].update.table->changes, kBatch.changes);
}

TEST_F(ReplicaTest, ABatchThatTheNewViewDoesNotStartFromIsDropped) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    startWith(state);
    enter(1, {1, 3}, false);
    const auto claim = std::ranges::find_if(
        persists_, [](const Persist& persist) { return persist.update.syncedEpoch.has_value(); });
    ASSERT_NE(claim, persists_.end());
    EXPECT_TRUE(claim->update.clearPending);
    EXPECT_FALSE(claim->update.pending);
}

TEST_F(ReplicaTest, ABatchThatTheNewViewStartsFromIsCommittedOnceSettled) {
    DurableState state = usedDisk();
    state.pending = Batch{{1, 4}, {{"k", "4"}}};
    startWith(state);
    enter(1, {1, 4});
    receive("a", Propose{true, {}, {{1, 4}, {}}});
    EXPECT_TRUE(replica_->committedTable().empty());
    receive("c", Commit{{1, 4}});
    EXPECT_EQ(replica_->committedTable().at("k"), "4");
}

// ---- Writes at the head

TEST_F(ReplicaTest, TheHeadAnswersOnceTheCommitCameBack) {
    enterSettled(0);
    forget();
    handle(ClientWrite{7, {{"k", "1"}}});
    EXPECT_EQ(sent<Propose>(), 0u);
    handle(ClientWrite{8, {{"k", "2"}}});
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->token, 8u) << "one at a time";
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
    storeNext();
    ASSERT_EQ(sent<Propose>("a"), 1u);
    EXPECT_EQ(last<Propose>()->batch.position, (Position{2, 4}));
    forget();
    pass(300);
    EXPECT_EQ(sent<Propose>("a"), 1u) << "sent again";
    EXPECT_FALSE(last<WriteDone>());
    receive("a", Commit{{2, 4}});
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->token, 7u);
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::committed);
    EXPECT_TRUE(replica_->writable());
}

TEST_F(ReplicaTest, TheHeadRefusesWritesWithTooFewMembersOrZones) {
    tolerance_ = {3, 1};
    enterSettled(0);
    EXPECT_TRUE(replica_->isHead());
    EXPECT_FALSE(replica_->writable());
    handle(ClientWrite{7, {}});
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
}

TEST_F(ReplicaTest, AWriteIsAnsweredInTheEndWhateverHappens) {
    enterSettled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    pass(kWriteTimeout + 100);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
    EXPECT_FALSE(replica_->writable()) << "the batch is still on its way";
}

TEST_F(ReplicaTest, AWriteThatTheNextViewStartsFromIsAnsweredThere) {
    enterSettled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    storeAll();
    View next = replica_->view();
    next.epoch = 3;
    next.start = {2, 4};
    receive("a", Decided{next}, 3);
    storeAll();
    EXPECT_FALSE(last<WriteDone>());
    receive("a", Commit{{2, 4}}, 3);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::committed);
}

TEST_F(ReplicaTest, AWriteThatTheNextViewLacksIsUnavailable) {
    enterSettled(0);
    handle(ClientWrite{7, {{"k", "1"}}});
    storeAll();
    View next = replica_->view();
    next.epoch = 3;
    receive("a", Decided{next}, 3);
    ASSERT_TRUE(last<WriteDone>());
    EXPECT_EQ(last<WriteDone>()->outcome, WriteOutcome::unavailable);
}

// ---- Freshness and reads

TEST_F(ReplicaTest, IsFreshWhileAMajorityVouches) {
    enterSettled(1);
    EXPECT_FALSE(replica_->fresh(now_));
    answerHeartbeats({"c"});
    EXPECT_TRUE(replica_->fresh(now_));
    EXPECT_TRUE(replica_->fresh(now_ + kFreshFor));
    EXPECT_FALSE(replica_->fresh(now_ + kFreshFor + 1));
}

TEST_F(ReplicaTest, AnswersOfSealedOrForeignMembersDoNotVouch) {
    enterSettled(1);
    Status sealed;
    sealed.sealed = true;
    const std::vector<Action> kept = actions_;
    answerHeartbeats({"c"}, sealed);
    EXPECT_FALSE(replica_->fresh(now_));
    actions_ = kept;
    answerHeartbeats({"a"}, {}, 1);
    EXPECT_FALSE(replica_->fresh(now_));
}

TEST_F(ReplicaTest, AnswersThatWaitedWhileItSleptDoNotVouch) {
    enterSettled(1);
    now_ += 5'000;
    answerHeartbeats({"a", "c"});
    EXPECT_FALSE(replica_->fresh(now_));
}

TEST_F(ReplicaTest, AReadWaitsForHeartbeatsSentAfterIt) {
    enterSettled(2);
    const std::vector<Action> early = std::exchange(actions_, {});
    handle(ReadBarrier{5});
    const std::vector<Action> late = std::exchange(actions_, early);
    answerHeartbeats({"a", "c"});
    EXPECT_FALSE(last<ReadDone>());
    actions_ = late;
    answerHeartbeats({"a"});
    if (!last<ReadDone>()) {  // the round for the read waited for its turn
        pass(50);
        answerHeartbeats({"a"});
    }
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_TRUE(last<ReadDone>()->ok);
}

TEST_F(ReplicaTest, ReadsEndElsewhereAndInTime) {
    enterSettled(1);
    handle(ReadBarrier{5});
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_FALSE(last<ReadDone>()->ok) << "not the tail";
    enterSettled(2);
    forget();
    handle(ReadBarrier{6});
    pass(kReadTimeout + 100);
    ASSERT_TRUE(last<ReadDone>());
    EXPECT_FALSE(last<ReadDone>()->ok);
}

// ---- Bounds

// ---- Outside the view

TEST_F(ReplicaTest, ALearnerAsksAnotherSourceAfterATimeOut) {
    startWith(usedDisk());
    receive("a", Decided{View{2, {memberOf("a"), memberOf("c")}, {1, 5}}}, 2);
    storeAll();
    EXPECT_EQ(sent<SyncRequest>("a"), 1u);
    EXPECT_EQ(last<SyncRequest>()->position, (Position{1, 3}));
    pass(kLearnRetry - 100);
    EXPECT_EQ(sent<SyncRequest>(), 1u);
    pass(200);
    EXPECT_EQ(sent<SyncRequest>("c"), 1u);
    EXPECT_EQ(sent<SyncRequest>(), 2u);
}

TEST_F(ReplicaTest, WhatALearnerStoresCountsForNoEpoch) {
    startWith(usedDisk());
    receive("a", Decided{View{2, {memberOf("a"), memberOf("c")}, {1, 5}}}, 2);
    storeAll();
    receive("a", SyncReply{{1, 3}, TableUpdate{{2, 6}, false, {{"k", "6"}}}});
    ASSERT_EQ(persists_.size(), 1u);
    EXPECT_FALSE(persists_[0].update.syncedEpoch.has_value());
    EXPECT_EQ(persists_[0].update.table->position, (Position{2, 6}));
    storeAll();
    EXPECT_EQ(replica_->committedPosition(), Position{});
    receive("c", Heartbeat{1, now_});
    EXPECT_EQ(last<HeartbeatReply>()->status.stored, (Position{2, 6}));
    EXPECT_EQ(last<HeartbeatReply>()->status.syncedEpoch, 1u);
    // Older answers, and deltas on another state, are dropped.
    receive("a", SyncReply{{2, 6}, TableUpdate{{2, 5}, false, {{"k", "5"}}}});
    receive("a", SyncReply{{1, 3}, TableUpdate{{2, 7}, false, {{"k", "7"}}}});
    EXPECT_TRUE(persists_.empty());
}

TEST_F(ReplicaTest, OnlyASettledMemberServesALearner) {
    startWith(usedDisk());
    enter(1);
    receive("d", SyncRequest{{1, 3}, true});
    EXPECT_EQ(sent<SyncReply>("d"), 0u);
    receive("a", Propose{true, {}, {{1, 3}, {}}});
    receive("c", Commit{{1, 3}});
    receive("a", kPropose);
    storeAll();
    receive("d", SyncRequest{{1, 3}, true});
    ASSERT_EQ(sent<SyncReply>("d"), 1u);
    // The pending batch is not part of it: nobody knows yet whether it will be committed.
    EXPECT_EQ(last<SyncReply>()->update.position, (Position{1, 3}));
    EXPECT_TRUE(last<SyncReply>()->update.whole);
    receive("c", Commit{kBatch.position});
    receive("d", SyncRequest{{1, 3}});
    EXPECT_EQ(last<SyncReply>()->update.position, kBatch.position);
    EXPECT_FALSE(last<SyncReply>()->update.whole);
}

TEST_F(ReplicaTest, RemembersOnlySoManyProcessesThatAskToJoin) {
    enterSettled(0);
    for (int count = 0; count < 500; ++count) {
        Member stranger = memberOf("a");
        stranger.name = fmt::format("s{}", count);
        stranger.internalAddress = fmt::format("10.9.{}.{}:7660", count / 200, count % 200);
        handle(MessageReceived{Message{stranger, 2, Join{}}});
    }
    forget();
    pass(260);
    EXPECT_LE(sent<Heartbeat>(), 2 * kMaxPeers);
    EXPECT_GT(sent<Heartbeat>("a"), 0u);
    EXPECT_GT(sent<Heartbeat>("c"), 0u);
}

TEST_F(ReplicaTest, AHangingDiskIsTold) {
    enterSettled(1);
    receive("a", kPropose);
    receive("a", Heartbeat{1, 1});
    EXPECT_FALSE(last<HeartbeatReply>()->status.diskFailing);
    pass(kDiskStuckAfter + 100);
    receive("a", Heartbeat{2, 2});
    EXPECT_TRUE(last<HeartbeatReply>()->status.diskFailing);
    storeAll();
    pass(50);
    receive("a", Heartbeat{3, 3});
    EXPECT_FALSE(last<HeartbeatReply>()->status.diskFailing);
}

}  // namespace
}  // namespace beechpoint::replica
