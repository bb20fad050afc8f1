// Each state and each way out of it, on scripted states of the replica.
#include "control/operator_calls.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace beechpoint::control {
namespace {

constexpr Millis kNow = 1000;

std::string body(int revision, int timeout = 1000) {
    return R"({"revision":)" + std::to_string(revision) +
           R"(,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/","timeout_ms":)" +
           std::to_string(timeout) + R"(,"backend":"s"}],"services":[{"name":"s"}]})";
}

OperatorCall put(int ifMatch, std::string text) {
    auto call = parseOperatorCall("PUT", "/configuration", std::to_string(ifMatch)).value();
    call.body = std::move(text);
    return call;
}

OperatorCall get() { return parseOperatorCall("GET", "/configuration", "").value(); }
OperatorCall evacuation() { return parseOperatorCall("POST", "/evacuate/za", "").value(); }

class OperatorCallsTest : public ::testing::Test {
protected:
    OperatorCallsTest() {
        replica.table = std::make_shared<const Table>();
        replica.position = {1, 1};
        replica.head = {"10.0.0.1:8", true};
        replica.tail = {"10.0.0.3:8", true};
    }

    // This member is the head, or the tail, or both.
    void place(bool head, bool tail) {
        replica.inView = true;
        replica.isHead = replica.writable = head;
        replica.isTail = tail;
        replica.head.elsewhere = !head;
        replica.tail.elsewhere = !tail;
    }
    void nowhere() { replica.inView = replica.head.elsewhere = replica.tail.elsewhere = false; }

    void tell(OperatorEvent event) {
        actions.clear();
        calls.handle(now, replica, std::move(event), actions);
    }
    CallId come(OperatorCall call) {
        tell(CallCame{++lastId, std::move(call)});
        return lastId;
    }
    template <class Wanted>
    std::optional<Wanted> only() const {
        std::optional<Wanted> found;
        for (const OperatorAction& action : actions) {
            if (std::holds_alternative<Note>(action)) continue;
            const auto* wanted = std::get_if<Wanted>(&action);
            if (!wanted || found) return std::nullopt;
            found = *wanted;
        }
        return found;
    }
    int answered() const { return only<Answer>() ? only<Answer>()->status : 0; }
    void commit(const StartWrite& write) {
        Table table = *replica.table;
        apply(write.changes, table);
        replica.table = std::make_shared<const Table>(std::move(table));
        replica.position.sequence++;
    }
    // The first configuration, as if it had been put long ago.
    void start(int revision) {
        const auto decision = decide(put(0, body(revision)), *replica.table);
        commit({0, {}, std::get<configuration::Accepted>(decision.value()).changes});
    }

    OperatorCalls calls;
    ReplicaState replica;
    std::vector<OperatorAction> actions;
    Millis now = kNow;
    CallId lastId = 0;
};

// ---- waiting

TEST_F(OperatorCallsTest, WritesGoToTheHeadAndReadsToTheTail) {
    place(false, false);
    come(put(0, body(1)));
    ASSERT_EQ(answered(), 307);
    EXPECT_EQ(only<Answer>()->headers, "Location: http://10.0.0.1:8/configuration\r\n");
    come(get());
    ASSERT_EQ(answered(), 307);
    EXPECT_EQ(only<Answer>()->headers, "Location: http://10.0.0.3:8/configuration\r\n");
    EXPECT_EQ(calls.inHand(), 0u);
}

TEST_F(OperatorCallsTest, NobodyIsSentToAMemberThatIsSilent) {
    nowhere();
    come(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
    EXPECT_TRUE(calls.waiting());
    replica.head.elsewhere = true;
    tell(Look{});
    EXPECT_EQ(answered(), 307);
}

TEST_F(OperatorCallsTest, NorToAnAddressThatIsNotKnown) {
    nowhere();
    replica.head = {"", true};
    come(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
}

TEST_F(OperatorCallsTest, WithoutAPlaceACallGets503AtItsDeadline) {
    nowhere();
    come(get());
    now += kOperatorWait - 1;
    tell(Look{});
    EXPECT_TRUE(actions.empty());
    now += 1;
    tell(Look{});
    ASSERT_EQ(answered(), 503);
    EXPECT_NE(only<Answer>()->headers.find("Retry-After"), std::string::npos);
    EXPECT_FALSE(calls.waiting());
}

TEST_F(OperatorCallsTest, WithoutAReplicaNothingIsDecided) {
    place(true, true);
    replica = {};
    come(put(0, body(1)));
    come(get());
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.inHand(), 2u);
}

TEST_F(OperatorCallsTest, AWriteWaitsUntilTheHeadIsWritable) {
    place(true, false);
    replica.writable = false;
    come(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
    replica.writable = true;
    tell(Look{});
    EXPECT_TRUE(only<StartWrite>());
}

TEST_F(OperatorCallsTest, OneThatWaitsIsForgottenWithItsClient) {
    nowhere();
    const CallId id = come(put(0, body(1)));
    tell(ClientLeft{id});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.inHand(), 0u);
    place(true, true);
    tell(Look{});
    EXPECT_TRUE(actions.empty()) << "an order whose sender has gone is not begun";
}

TEST_F(OperatorCallsTest, LeavingItSendsAwayWhatWaitsAndWhatComes) {
    nowhere();
    come(put(0, body(1)));
    tell(Leaving{});
    EXPECT_EQ(answered(), 503);
    place(true, true);
    come(get());
    EXPECT_EQ(answered(), 503);
    place(false, false);
    come(get());
    EXPECT_EQ(answered(), 307) << "others still answer";
}

TEST_F(OperatorCallsTest, LeavingItFinishesWhatItHasInHand) {
    place(true, true);
    const CallId read = come(get());
    const CallId write = come(put(0, body(1)));
    const auto started = only<StartWrite>();
    ASSERT_TRUE(started);
    tell(Leaving{});
    EXPECT_TRUE(actions.empty());
    tell(BarrierDone{read, true});
    EXPECT_EQ(answered(), 200);
    commit(*started);
    tell(WriteDone{write, WriteResult::committed});
    EXPECT_EQ(answered(), 200);
    EXPECT_EQ(calls.inHand(), 0u);
}

// ---- barrier of a read

TEST_F(OperatorCallsTest, AReadIsAnsweredBehindItsBarrierByTheTableOfThatMoment) {
    place(false, true);
    start(5);
    const CallId id = come(get());
    ASSERT_TRUE(only<StartBarrier>());
    EXPECT_FALSE(only<StartBarrier>()->emptyBatch);
    commit({0, {}, {{"meta/version", "6"}}});
    tell(BarrierDone{id, true});
    ASSERT_EQ(answered(), 200);
    EXPECT_TRUE(only<Answer>()->body.starts_with(R"({"revision":6,)"));
}

TEST_F(OperatorCallsTest, AReadWhoseBarrierFailsLooksForItsPlaceAgain) {
    place(false, true);
    CallId id = come(get());
    replica.isTail = false;
    replica.tail.elsewhere = true;
    tell(BarrierDone{id, false});
    EXPECT_EQ(answered(), 307);
    place(false, true);
    id = come(get());
    tell(BarrierDone{id, false});
    EXPECT_TRUE(actions.empty()) << "it would fail again in the same step, without end";
    now += 10;
    tell(Look{});
    EXPECT_TRUE(actions.empty());
    now += 20;
    tell(Look{});
    EXPECT_TRUE(only<StartBarrier>()) << "still the tail: once more";
    now += kOperatorWait;
    tell(BarrierDone{id, false});
    EXPECT_EQ(answered(), 503);
}

TEST_F(OperatorCallsTest, AReadIsNotAnsweredWithoutATable) {
    place(false, true);
    const CallId id = come(get());
    replica = {};
    tell(BarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    EXPECT_TRUE(calls.waiting());
}

// ---- decided

TEST_F(OperatorCallsTest, AGoodWriteIsCommittedAndAcknowledged) {
    place(true, false);
    const CallId id = come(put(0, body(1)));
    const auto write = only<StartWrite>();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base, replica.position);
    commit(*write);
    tell(WriteDone{id, WriteResult::committed});
    ASSERT_EQ(answered(), 200);
    EXPECT_EQ(only<Answer>()->body, R"({"revision":1})");
    EXPECT_EQ(calls.writesTaken(), 1u);
}

// What would be refused or called taken by this member's table is looked at again behind a barrier.
TEST_F(OperatorCallsTest, NothingIsRefusedWithoutABarrier) {
    place(true, false);
    start(5);
    for (OperatorCall call : {put(7, body(9)), put(5, body(5, 2)), put(5, "{")}) {
        const CallId id = come(std::move(call));
        ASSERT_TRUE(only<StartBarrier>());
        EXPECT_TRUE(only<StartBarrier>()->emptyBatch);
        tell(BarrierDone{id, false});
        EXPECT_TRUE(actions.empty()) << "not in the same step";
        now += 25;
        tell(Look{});
        EXPECT_TRUE(only<StartBarrier>()) << "still the head: once more";
        tell(BarrierDone{id, true});
        EXPECT_GE(answered(), 400);
        EXPECT_LT(answered(), 500);
    }
    const CallId id = come(put(0, body(5)));
    EXPECT_TRUE(only<StartBarrier>()) << "taken already";
    tell(BarrierDone{id, true});
    EXPECT_EQ(answered(), 200);
}

TEST_F(OperatorCallsTest, AnOldHeadDoesNotRefuseWhatTheNewOneWouldTake) {
    place(true, false);
    start(5);
    const CallId id = come(put(7, body(9)));  // 7 was acknowledged by others: this member was cut off
    ASSERT_TRUE(only<StartBarrier>());
    place(false, false);
    tell(BarrierDone{id, false});
    EXPECT_EQ(answered(), 307);
}

// The barrier's own batch shows a table on which the call is good.
TEST_F(OperatorCallsTest, BehindTheBarrierItIsDecidedAnew) {
    place(true, false);
    start(5);
    const CallId id = come(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    tell(BarrierDone{id, true});
    EXPECT_TRUE(only<StartWrite>());
}

TEST_F(OperatorCallsTest, AcceptedBehindTheBarrierByOneThatIsHeadNoLongerItGoesElsewhere) {
    place(true, false);
    start(5);
    const CallId id = come(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    place(false, false);
    tell(BarrierDone{id, true});
    EXPECT_EQ(answered(), 307);
}

TEST_F(OperatorCallsTest, AVouchDoesNotOutliveItsMoment) {
    place(true, false);
    start(5);
    const CallId id = come(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    replica.writable = false;
    tell(BarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    commit({0, {}, {{"meta/version", "8"}}});
    replica.writable = true;
    tell(Look{});
    EXPECT_TRUE(only<StartBarrier>()) << "refused by a later table: behind a barrier of its own";
}

// ---- committing

TEST_F(OperatorCallsTest, OneWriteIsInHandAtATimeAndInOrder) {
    place(true, true);
    const CallId first = come(put(0, body(1)));
    const auto write = only<StartWrite>();
    ASSERT_TRUE(write);
    const CallId second = come(put(0, body(1, 2000)));
    EXPECT_TRUE(actions.empty());
    const CallId third = come(evacuation());
    EXPECT_TRUE(actions.empty());
    come(get());
    EXPECT_TRUE(only<StartBarrier>()) << "reads don't wait for writes";
    commit(*write);
    tell(WriteDone{first, WriteResult::committed});
    ASSERT_EQ(actions.size(), 3u);  // a note, the answer, the barrier of the second
    EXPECT_EQ(std::get<Answer>(actions[1]).id, first);
    EXPECT_EQ(std::get<StartBarrier>(actions[2]).id, second);
    tell(BarrierDone{second, true});
    EXPECT_EQ(std::get<Answer>(actions[1]).status, 412) << "another configuration under the same number";
    EXPECT_EQ(std::get<StartWrite>(actions[2]).id, third);
}

TEST_F(OperatorCallsTest, SentAgainWhileTheFirstIsInTheChainItIsAcknowledgedOnce) {
    place(true, true);
    const CallId first = come(put(0, body(1)));
    const auto write = only<StartWrite>();
    ASSERT_TRUE(write);
    const CallId again = come(put(0, body(1)));
    commit(*write);
    tell(WriteDone{first, WriteResult::committed});
    ASSERT_EQ(std::get<StartBarrier>(actions.back()).id, again);
    tell(BarrierDone{again, true});
    EXPECT_EQ(answered(), 200);
    EXPECT_EQ(calls.writesTaken(), 1u);
}

TEST_F(OperatorCallsTest, WhatIsNotKnownIsSaidSoAndFoundWhenSentAgain) {
    for (const bool tookEffect : {false, true}) {
        place(true, true);
        replica.table = std::make_shared<const Table>();
        const CallId id = come(put(0, body(1)));
        const auto write = only<StartWrite>();
        ASSERT_TRUE(write);
        tell(WriteDone{id, WriteResult::unknown});
        EXPECT_EQ(answered(), 503);
        if (tookEffect) commit(*write);
        const CallId again = come(put(0, body(1)));
        if (tookEffect) {
            tell(BarrierDone{again, true});
        } else {
            ASSERT_TRUE(only<StartWrite>());
            tell(WriteDone{again, WriteResult::committed});
        }
        EXPECT_EQ(answered(), 200);
    }
}

TEST_F(OperatorCallsTest, OneThatWasNotBegunIsDecidedAnew) {
    place(true, false);
    const CallId id = come(put(0, body(1)));
    ASSERT_TRUE(only<StartWrite>());
    replica.position.sequence++;
    tell(WriteDone{id, WriteResult::notStarted});
    const auto write = only<StartWrite>();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base, replica.position);
}

TEST_F(OperatorCallsTest, AClientThatLeavesGetsNoAnswerAndItsWriteKeepsItsPlace) {
    place(true, true);
    const CallId id = come(put(0, body(1)));
    tell(ClientLeft{id});
    EXPECT_EQ(calls.inHand(), 1u);
    come(evacuation());
    EXPECT_TRUE(actions.empty()) << "the first is still in the chain";
    tell(WriteDone{id, WriteResult::committed});
    EXPECT_TRUE(only<StartWrite>()) << "no answer to who has gone; the next begins";
}

TEST_F(OperatorCallsTest, WithoutItsClientNothingIsBegunAfterABarrier) {
    place(true, false);
    start(5);
    const CallId id = come(put(7, body(9)));
    tell(ClientLeft{id});
    commit({0, {}, {{"meta/version", "7"}}});
    tell(BarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.inHand(), 0u);
}

TEST_F(OperatorCallsTest, EventsOfOthersAndRepeatedOnesChangeNothing) {
    place(true, false);
    const CallId id = come(put(0, body(1)));
    tell(WriteDone{id + 1, WriteResult::committed});
    tell(BarrierDone{id, true});
    tell(ClientLeft{id + 1});
    EXPECT_TRUE(actions.empty());
    tell(WriteDone{id, WriteResult::committed});
    EXPECT_EQ(answered(), 200);
    tell(WriteDone{id, WriteResult::committed});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.writesTaken(), 1u);
}

// ---- bounds

TEST_F(OperatorCallsTest, CallsInHandAreBoundedInNumber) {
    nowhere();
    for (std::size_t call = 0; call < kMaxOperatorCalls; call++) come(get());
    EXPECT_TRUE(actions.empty());
    come(get());
    EXPECT_EQ(answered(), 503);
    tell(ClientLeft{1});
    come(get());
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.inHand(), kMaxOperatorCalls);
}

TEST_F(OperatorCallsTest, CallsInHandAreBoundedInBytes) {
    nowhere();
    come(put(0, std::string(kMaxOperatorBytes / 2, ' ')));
    come(put(0, std::string(kMaxOperatorBytes / 2, ' ')));
    EXPECT_TRUE(actions.empty());
    come(put(0, " "));
    EXPECT_EQ(answered(), 503);
    tell(ClientLeft{1});
    come(put(0, " "));
    EXPECT_TRUE(actions.empty());
}

}  // namespace
}  // namespace beechpoint::control
