// Tests each state of a call and each transition from it, on scripted states of the replica.
#include "control/operator_calls.hpp"

#include <gtest/gtest.h>

#include <optional>

#include "configuration/cluster_identity.hpp"

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
    void setRole(bool head, bool tail) {
        replica.inView = true;
        replica.isHead = replica.writable = head;
        replica.isTail = tail;
        replica.head.isReachablePeer = !head;
        replica.tail.isReachablePeer = !tail;
    }
    void leaveViewWithoutPeers() {
        replica.inView = replica.head.isReachablePeer = replica.tail.isReachablePeer = false;
    }

    void dispatch(OperatorEvent event) {
        actions.clear();
        calls.handle(now, replica, std::move(event), actions);
    }
    CallId receive(OperatorCall call) {
        dispatch(CallReceived{++lastId, std::move(call)});
        return lastId;
    }
    template <class Wanted>
    std::optional<Wanted> onlyAction() const {
        std::optional<Wanted> found;
        for (const OperatorAction& action : actions) {
            if (std::holds_alternative<LogEvent>(action)) continue;
            const auto* wanted = std::get_if<Wanted>(&action);
            if (!wanted || found) return std::nullopt;
            found = *wanted;
        }
        return found;
    }
    int answeredStatus() const { return onlyAction<Answer>() ? onlyAction<Answer>()->status : 0; }
    void commit(const StartWrite& write) {
        Table table = *replica.table;
        apply(write.changes, table);
        replica.table = std::make_shared<const Table>(std::move(table));
        replica.position.sequence++;
    }
    // The first configuration, as if it had been put long ago.
    void commitConfiguration(int revision) {
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

TEST_F(OperatorCallsTest, RedirectsWritesToHeadAndReadsToTail) {
    setRole(false, false);
    receive(put(0, body(1)));
    ASSERT_EQ(answeredStatus(), 307);
    EXPECT_EQ(onlyAction<Answer>()->headers, "Location: http://10.0.0.1:8/configuration\r\n");
    receive(get());
    ASSERT_EQ(answeredStatus(), 307);
    EXPECT_EQ(onlyAction<Answer>()->headers, "Location: http://10.0.0.3:8/configuration\r\n");
    EXPECT_EQ(calls.pendingCalls(), 0u);
}

TEST_F(OperatorCallsTest, DoesNotRedirectToUnresponsiveMember) {
    leaveViewWithoutPeers();
    receive(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
    EXPECT_TRUE(calls.waiting());
    replica.head.isReachablePeer = true;
    dispatch(Reevaluate{});
    EXPECT_EQ(answeredStatus(), 307);
}

TEST_F(OperatorCallsTest, DoesNotRedirectToUnknownAddress) {
    leaveViewWithoutPeers();
    replica.head = {"", true};
    receive(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
}

TEST_F(OperatorCallsTest, Answers503AtDeadlineWithoutReachableRole) {
    leaveViewWithoutPeers();
    receive(get());
    now += kOperatorCallTimeout - 1;
    dispatch(Reevaluate{});
    EXPECT_TRUE(actions.empty());
    now += 1;
    dispatch(Reevaluate{});
    ASSERT_EQ(answeredStatus(), 503);
    EXPECT_NE(onlyAction<Answer>()->headers.find("Retry-After"), std::string::npos);
    EXPECT_FALSE(calls.waiting());
}

TEST_F(OperatorCallsTest, DecidesNothingWithoutReplica) {
    setRole(true, true);
    replica = {};
    receive(put(0, body(1)));
    receive(get());
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.pendingCalls(), 2u);
}

TEST_F(OperatorCallsTest, HoldsWriteUntilHeadIsWritable) {
    setRole(true, false);
    replica.writable = false;
    receive(put(0, body(1)));
    EXPECT_TRUE(actions.empty());
    replica.writable = true;
    dispatch(Reevaluate{});
    EXPECT_TRUE(onlyAction<StartWrite>());
}

TEST_F(OperatorCallsTest, ForgetsWaitingCallWhenClientDisconnects) {
    leaveViewWithoutPeers();
    const CallId id = receive(put(0, body(1)));
    dispatch(ClientDisconnected{id});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.pendingCalls(), 0u);
    setRole(true, true);
    dispatch(Reevaluate{});
    EXPECT_TRUE(actions.empty()) << "a call whose client has disconnected is not started";
}

TEST_F(OperatorCallsTest, RejectsWaitingAndNewCallsWhileDraining) {
    leaveViewWithoutPeers();
    receive(put(0, body(1)));
    dispatch(DrainStarted{});
    EXPECT_EQ(answeredStatus(), 503);
    setRole(true, true);
    receive(get());
    EXPECT_EQ(answeredStatus(), 503);
    setRole(false, false);
    receive(get());
    EXPECT_EQ(answeredStatus(), 307) << "others still answer";
}

TEST_F(OperatorCallsTest, FinishesStartedCallsWhileDraining) {
    setRole(true, true);
    const CallId read = receive(get());
    const CallId write = receive(put(0, body(1)));
    const auto started = onlyAction<StartWrite>();
    ASSERT_TRUE(started);
    dispatch(DrainStarted{});
    EXPECT_TRUE(actions.empty());
    dispatch(ReadBarrierDone{read, true});
    EXPECT_EQ(answeredStatus(), 200);
    commit(*started);
    dispatch(WriteDone{write, WriteResult::committed});
    EXPECT_EQ(answeredStatus(), 200);
    EXPECT_EQ(calls.pendingCalls(), 0u);
}

TEST_F(OperatorCallsTest, FirstChangeGivesTheClusterItsIdentity) {
    setRole(true, true);
    replica.clusterCandidate = 0xabc;
    receive(put(0, body(1)));
    const auto first = onlyAction<StartWrite>();
    ASSERT_TRUE(first);
    commit(*first);
    EXPECT_EQ(configuration::clusterId(*replica.table), 0xabcu);
    dispatch(WriteDone{lastId, WriteResult::committed});
    replica.clusterCandidate = 0xdef;
    receive(put(1, body(2)));
    const auto second = onlyAction<StartWrite>();
    ASSERT_TRUE(second);
    commit(*second);
    EXPECT_EQ(configuration::clusterId(*replica.table), 0xabcu) << "it never changes";
}

// ---- readBarrier, of a read

TEST_F(OperatorCallsTest, AnswersReadAfterBarrierWithTableOfThatMoment) {
    setRole(false, true);
    commitConfiguration(5);
    const CallId id = receive(get());
    ASSERT_TRUE(onlyAction<StartReadBarrier>());
    EXPECT_EQ(onlyAction<StartReadBarrier>()->kind, ReadBarrierKind::heartbeatRound);
    commit({0, {}, {{"meta/version", "6"}}});
    dispatch(ReadBarrierDone{id, true});
    ASSERT_EQ(answeredStatus(), 200);
    EXPECT_TRUE(onlyAction<Answer>()->body.starts_with(R"({"revision":6,)"));
}

TEST_F(OperatorCallsTest, ReevaluatesReadWhenBarrierFails) {
    setRole(false, true);
    CallId id = receive(get());
    replica.isTail = false;
    replica.tail.isReachablePeer = true;
    dispatch(ReadBarrierDone{id, false});
    EXPECT_EQ(answeredStatus(), 307);
    setRole(false, true);
    id = receive(get());
    dispatch(ReadBarrierDone{id, false});
    EXPECT_TRUE(actions.empty()) << "it would fail again in the same step, without end";
    now += 10;
    dispatch(Reevaluate{});
    EXPECT_TRUE(actions.empty());
    now += 20;
    dispatch(Reevaluate{});
    EXPECT_TRUE(onlyAction<StartReadBarrier>()) << "still the tail: once more";
    now += kOperatorCallTimeout;
    dispatch(ReadBarrierDone{id, false});
    EXPECT_EQ(answeredStatus(), 503);
}

TEST_F(OperatorCallsTest, DoesNotAnswerReadWithoutTable) {
    setRole(false, true);
    const CallId id = receive(get());
    replica = {};
    dispatch(ReadBarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    EXPECT_TRUE(calls.waiting());
}

// ---- decided

TEST_F(OperatorCallsTest, CommitsAndAcknowledgesAcceptedWrite) {
    setRole(true, false);
    const CallId id = receive(put(0, body(1)));
    const auto write = onlyAction<StartWrite>();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base, replica.position);
    commit(*write);
    dispatch(WriteDone{id, WriteResult::committed});
    ASSERT_EQ(answeredStatus(), 200);
    EXPECT_EQ(onlyAction<Answer>()->body, R"({"revision":1})");
    EXPECT_EQ(calls.committedWrites(), 1u);
}

// A write that this member's table would reject or report as applied is decided again after a read barrier.
TEST_F(OperatorCallsTest, RejectsNothingWithoutReadBarrier) {
    setRole(true, false);
    commitConfiguration(5);
    for (OperatorCall call : {put(7, body(9)), put(5, body(5, 2)), put(5, "{")}) {
        const CallId id = receive(std::move(call));
        ASSERT_TRUE(onlyAction<StartReadBarrier>());
        EXPECT_EQ(onlyAction<StartReadBarrier>()->kind, ReadBarrierKind::emptyBatch);
        dispatch(ReadBarrierDone{id, false});
        EXPECT_TRUE(actions.empty()) << "not in the same step";
        now += 25;
        dispatch(Reevaluate{});
        EXPECT_TRUE(onlyAction<StartReadBarrier>()) << "still the head: once more";
        dispatch(ReadBarrierDone{id, true});
        EXPECT_GE(answeredStatus(), 400);
        EXPECT_LT(answeredStatus(), 500);
    }
    const CallId id = receive(put(0, body(5)));
    EXPECT_TRUE(onlyAction<StartReadBarrier>()) << "already applied";
    dispatch(ReadBarrierDone{id, true});
    EXPECT_EQ(answeredStatus(), 200);
}

TEST_F(OperatorCallsTest, RedirectsWriteWhenFormerHeadsBarrierFails) {
    setRole(true, false);
    commitConfiguration(5);
    const CallId id =
        receive(put(7, body(9)));  // 7 was acknowledged by others: this member was partitioned off
    ASSERT_TRUE(onlyAction<StartReadBarrier>());
    setRole(false, false);
    dispatch(ReadBarrierDone{id, false});
    EXPECT_EQ(answeredStatus(), 307);
}

// The table after the barrier's batch is one on which the call is accepted.
TEST_F(OperatorCallsTest, DecidesWriteAgainAfterBarrier) {
    setRole(true, false);
    commitConfiguration(5);
    const CallId id = receive(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    dispatch(ReadBarrierDone{id, true});
    EXPECT_TRUE(onlyAction<StartWrite>());
}

TEST_F(OperatorCallsTest, RedirectsWriteAcceptedAfterBarrierWhenNoLongerHead) {
    setRole(true, false);
    commitConfiguration(5);
    const CallId id = receive(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    setRole(false, false);
    dispatch(ReadBarrierDone{id, true});
    EXPECT_EQ(answeredStatus(), 307);
}

TEST_F(OperatorCallsTest, RequiresNewBarrierForLaterDecision) {
    setRole(true, false);
    commitConfiguration(5);
    const CallId id = receive(put(7, body(9)));
    commit({0, {}, {{"meta/version", "7"}}});
    replica.writable = false;
    dispatch(ReadBarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    commit({0, {}, {{"meta/version", "8"}}});
    replica.writable = true;
    dispatch(Reevaluate{});
    EXPECT_TRUE(onlyAction<StartReadBarrier>()) << "rejected by a later table: after a barrier of its own";
}

// ---- committing

TEST_F(OperatorCallsTest, StartsWritesOneAtATimeInOrder) {
    setRole(true, true);
    const CallId first = receive(put(0, body(1)));
    const auto write = onlyAction<StartWrite>();
    ASSERT_TRUE(write);
    const CallId second = receive(put(0, body(1, 2000)));
    EXPECT_TRUE(actions.empty());
    const CallId third = receive(evacuation());
    EXPECT_TRUE(actions.empty());
    receive(get());
    EXPECT_TRUE(onlyAction<StartReadBarrier>()) << "reads don't wait for writes";
    commit(*write);
    dispatch(WriteDone{first, WriteResult::committed});
    ASSERT_EQ(actions.size(), 3u);  // the log event, the answer, the read barrier of the second
    EXPECT_EQ(std::get<Answer>(actions[1]).id, first);
    EXPECT_EQ(std::get<StartReadBarrier>(actions[2]).id, second);
    dispatch(ReadBarrierDone{second, true});
    EXPECT_EQ(std::get<Answer>(actions[1]).status, 412) << "another configuration under the same number";
    EXPECT_EQ(std::get<StartWrite>(actions[2]).id, third);
}

TEST_F(OperatorCallsTest, AppliesRepeatedWriteOnceWhileFirstIsInFlight) {
    setRole(true, true);
    const CallId first = receive(put(0, body(1)));
    const auto write = onlyAction<StartWrite>();
    ASSERT_TRUE(write);
    const CallId again = receive(put(0, body(1)));
    commit(*write);
    dispatch(WriteDone{first, WriteResult::committed});
    ASSERT_EQ(std::get<StartReadBarrier>(actions.back()).id, again);
    dispatch(ReadBarrierDone{again, true});
    EXPECT_EQ(answeredStatus(), 200);
    EXPECT_EQ(calls.committedWrites(), 1u);
}

TEST_F(OperatorCallsTest, Answers503OnUnknownOutcomeAndResolvesItOnRetry) {
    for (const bool tookEffect : {false, true}) {
        setRole(true, true);
        replica.table = std::make_shared<const Table>();
        const CallId id = receive(put(0, body(1)));
        const auto write = onlyAction<StartWrite>();
        ASSERT_TRUE(write);
        dispatch(WriteDone{id, WriteResult::unknown});
        EXPECT_EQ(answeredStatus(), 503);
        if (tookEffect) commit(*write);
        const CallId again = receive(put(0, body(1)));
        if (tookEffect) {
            dispatch(ReadBarrierDone{again, true});
        } else {
            ASSERT_TRUE(onlyAction<StartWrite>());
            dispatch(WriteDone{again, WriteResult::committed});
        }
        EXPECT_EQ(answeredStatus(), 200);
    }
}

TEST_F(OperatorCallsTest, DecidesWriteAgainWhenNotStarted) {
    setRole(true, false);
    const CallId id = receive(put(0, body(1)));
    ASSERT_TRUE(onlyAction<StartWrite>());
    replica.position.sequence++;
    dispatch(WriteDone{id, WriteResult::notStarted});
    const auto write = onlyAction<StartWrite>();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->base, replica.position);
}

TEST_F(OperatorCallsTest, KeepsWriteInOrderWithoutAnswerWhenClientDisconnects) {
    setRole(true, true);
    const CallId id = receive(put(0, body(1)));
    dispatch(ClientDisconnected{id});
    EXPECT_EQ(calls.pendingCalls(), 1u);
    receive(evacuation());
    EXPECT_TRUE(actions.empty()) << "the first is still in the chain";
    dispatch(WriteDone{id, WriteResult::committed});
    EXPECT_TRUE(onlyAction<StartWrite>()) << "no answer to a disconnected client; the next one starts";
}

TEST_F(OperatorCallsTest, StartsNothingAfterBarrierWhenClientDisconnected) {
    setRole(true, false);
    commitConfiguration(5);
    const CallId id = receive(put(7, body(9)));
    dispatch(ClientDisconnected{id});
    commit({0, {}, {{"meta/version", "7"}}});
    dispatch(ReadBarrierDone{id, true});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.pendingCalls(), 0u);
}

TEST_F(OperatorCallsTest, IgnoresForeignAndRepeatedEvents) {
    setRole(true, false);
    const CallId id = receive(put(0, body(1)));
    dispatch(WriteDone{id + 1, WriteResult::committed});
    dispatch(ReadBarrierDone{id, true});
    dispatch(ClientDisconnected{id + 1});
    EXPECT_TRUE(actions.empty());
    dispatch(WriteDone{id, WriteResult::committed});
    EXPECT_EQ(answeredStatus(), 200);
    dispatch(WriteDone{id, WriteResult::committed});
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.committedWrites(), 1u);
}

// ---- bounds

TEST_F(OperatorCallsTest, BoundsNumberOfPendingCalls) {
    leaveViewWithoutPeers();
    for (std::size_t call = 0; call < kMaxOperatorCalls; call++) receive(get());
    EXPECT_TRUE(actions.empty());
    receive(get());
    EXPECT_EQ(answeredStatus(), 503);
    dispatch(ClientDisconnected{1});
    receive(get());
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(calls.pendingCalls(), kMaxOperatorCalls);
}

TEST_F(OperatorCallsTest, BoundsBytesOfPendingCalls) {
    leaveViewWithoutPeers();
    receive(put(0, std::string(kMaxOperatorBytes / 2, ' ')));
    receive(put(0, std::string(kMaxOperatorBytes / 2, ' ')));
    EXPECT_TRUE(actions.empty());
    receive(put(0, " "));
    EXPECT_EQ(answeredStatus(), 503);
    dispatch(ClientDisconnected{1});
    receive(put(0, " "));
    EXPECT_TRUE(actions.empty());
}

}  // namespace
}  // namespace beechpoint::control
