// Lifecycle of a request: answered, failed over, hedged, resumed, rejected, given up.
#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

class RequestsTest : public testing::Test {
protected:
    Harness harness;
    void SetUp() override {
        harness.start({makeHost("a"), makeHost("b"), makeHost("c")}, {makeService("svc")});
        for (int i = 0; i < 40; ++i) {  // earlier requests fill the budgets
            const RequestArrived arrived = harness.request();
            harness.handle(arrived);
            harness.advance(10);
            harness.serve(arrived.id, 0);
        }
        harness.all.clear();
    }
    RequestArrived stream(bool resumable) {
        RequestArrived arrived = harness.request(RequestType::streaming);
        arrived.resumable = resumable;
        return arrived;
    }
};

TEST_F(RequestsTest, CompleteAnswerIsRelayedOnceAndEndsRequest) {
    const RequestArrived arrived = harness.request();
    const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].timeout, 2000);
    EXPECT_EQ(sends[0].address, sends[0].instanceId + ":80");
    EXPECT_TRUE(actionsOf<Relay>(harness.head(arrived.id, 0))
                    .empty());  // short and idempotent: buffered until it is complete
    EXPECT_EQ(actionsOf<Relay>(harness.ended(arrived.id, 0, Outcome::served)).size(), 1u);
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
    EXPECT_EQ(harness.dispatcher.attemptsInFlight(), 0u);
}

TEST_F(RequestsTest, NonIdempotentAnswerIsRelayedAtHead) {
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    EXPECT_EQ(actionsOf<Relay>(harness.head(arrived.id, 0, 500)).size(), 1u);  // relayed whatever the status
    EXPECT_TRUE(actionsOf<Fail>(harness.ended(arrived.id, 0, Outcome::hostError)).empty());
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
}

TEST_F(RequestsTest, HostStatusThatImpliesNotRunIsNotRelayed) {
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    EXPECT_TRUE(actionsOf<Relay>(harness.head(arrived.id, 0, 503)).empty());
    const std::vector<Action> end = harness.ended(arrived.id, 0, Outcome::hostError);
    ASSERT_EQ(actionsOf<Fail>(end).size(), 1u);
    EXPECT_EQ(actionsOf<Fail>(end)[0].status, 502);
}

TEST_F(RequestsTest, SuccessWithoutSealFails) {
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    AttemptHead head;
    head.id = arrived.id;
    head.status = 200;
    head.sealed = false;
    EXPECT_TRUE(actionsOf<Relay>(harness.handle(head)).empty());
    EXPECT_EQ(actionsOf<Fail>(harness.ended(arrived.id, 0, Outcome::served)).size(), 1u);
}

TEST_F(RequestsTest, SuccessThatIsNoEventStreamDoesNotResumeStream) {
    RequestArrived arrived = harness.request(RequestType::streaming);
    arrived.resumable = true;
    arrived.maxAttempts = 2;
    harness.handle(arrived);
    harness.head(arrived.id, 0);
    harness.handle(AttemptFirstByte{arrived.id, 0});
    ASSERT_EQ(actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::incomplete, "1")).size(), 1u);
    AttemptHead head;
    head.id = arrived.id;
    head.attempt = 1;
    head.status = 200;
    head.eventStream = false;
    EXPECT_TRUE(actionsOf<Relay>(harness.handle(head)).empty());
    EXPECT_TRUE(actionsOf<Relay>(harness.handle(AttemptFirstByte{arrived.id, 1})).empty());
    const std::vector<Action> end = harness.ended(arrived.id, 1, Outcome::served);
    EXPECT_TRUE(actionsOf<Relay>(end).empty());
    EXPECT_EQ(actionsOf<AbortResponse>(end).size(), 1u);
}

TEST_F(RequestsTest, IdempotentRequestFailsOverToOtherHost) {
    const RequestArrived arrived = harness.request();
    const std::string first = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    harness.head(arrived.id, 0, 500);
    const std::vector<Send> next = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::hostError));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].attempt, 1);
    EXPECT_NE(next[0].instanceId, first);
    EXPECT_EQ(actionsOf<Relay>(harness.serve(arrived.id, 1)).size(), 1u);
}

TEST_F(RequestsTest, NonIdempotentRequestFailsWhenItMayHaveRun) {
    for (const Outcome outcome : {Outcome::resetBeforeAnswer, Outcome::malformed, Outcome::attemptIdMismatch,
                                  Outcome::timedOut, Outcome::incomplete, Outcome::hostError}) {
        const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        ASSERT_EQ(actionsOf<Send>(harness.handle(arrived)).size(), 1u);
        const std::vector<Action> end = harness.ended(arrived.id, 0, outcome);
        EXPECT_TRUE(actionsOf<Send>(end).empty());
        EXPECT_TRUE(actionsOf<Reject>(end).empty());
        EXPECT_EQ(actionsOf<Fail>(end).size(), 1u);
        for (const std::string host : {"a", "b", "c"}) harness.handle(HealthCheckEnded{host, true, 0, true});
    }
}

TEST_F(RequestsTest, NonIdempotentRequestIsRetriedWhenItDidNotRun) {
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    harness.head(arrived.id, 0, 503, true);
    const std::vector<Send> next = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::rejected));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(actionsOf<Send>(harness.ended(arrived.id, 1, Outcome::notConnected)).size(), 1u);
}

TEST_F(RequestsTest, FailedConnectDoesNotCountAgainstMaxAttempts) {
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    harness.handle(arrived);
    EXPECT_EQ(actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::notConnected)).size(), 1u);
    EXPECT_EQ(actionsOf<Reject>(harness.ended(arrived.id, 1, Outcome::rejected)).size(), 1u);
}

// The addressed instance had ended; another one at its address did not run the request.
TEST_F(RequestsTest, MisdirectedAttemptDoesNotCountAgainstMaxAttempts) {
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    const std::vector<Send> first = actionsOf<Send>(harness.handle(arrived));
    ASSERT_EQ(first.size(), 1u);
    const std::vector<Send> second = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::misdirected));
    ASSERT_EQ(second.size(), 1u);
    EXPECT_NE(second[0].instanceId, first[0].instanceId);
    EXPECT_TRUE(actionsOf<Send>(harness.ended(arrived.id, 1, Outcome::rejected)).empty());
}

TEST_F(RequestsTest, MaxAttemptsBoundsHostsUsed) {
    RequestArrived arrived = harness.request();
    arrived.maxAttempts = 2;
    harness.handle(arrived);
    EXPECT_EQ(actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::hostError)).size(), 1u);
    const std::vector<Action> end = harness.ended(arrived.id, 1, Outcome::hostError);
    EXPECT_TRUE(actionsOf<Send>(end).empty());
    EXPECT_TRUE(actionsOf<Reject>(end).empty());  // it has run twice
    EXPECT_EQ(actionsOf<Fail>(end).size(), 1u);
}

TEST_F(RequestsTest, RequestThatDidNotRunIsRejectedWithRetryAfter) {
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    harness.handle(arrived);
    const std::vector<Reject> rejections = actionsOf<Reject>(harness.ended(arrived.id, 0, Outcome::rejected));
    ASSERT_EQ(rejections.size(), 1u);
    EXPECT_EQ(rejections[0].status, 503);
    EXPECT_GT(rejections[0].retryAfter, 0);
}

TEST_F(RequestsTest, OverdueIdempotentAttemptIsHedgedAndLoserCancelled) {
    const RequestArrived arrived = harness.request();
    const std::string first = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    const std::vector<Send> hedged = actionsOf<Send>(harness.advance(290));
    ASSERT_EQ(hedged.size(), 1u);
    EXPECT_NE(hedged[0].instanceId, first);
    const std::vector<Action> served = harness.serve(arrived.id, 1);
    ASSERT_EQ(actionsOf<Relay>(served).size(), 1u);
    EXPECT_EQ(actionsOf<Relay>(served)[0].attempt, 1);
    ASSERT_EQ(actionsOf<Cancel>(served).size(), 1u);
    EXPECT_EQ(actionsOf<Cancel>(served)[0].attempt, 0);
    EXPECT_EQ(harness.dispatcher.attemptsInFlight(), 1u);
    harness.ended(arrived.id, 0, Outcome::cancelled);
    EXPECT_EQ(harness.dispatcher.attemptsInFlight(), 0u);
}

TEST_F(RequestsTest, ClientDisconnectCancelsHedgedAttemptToo) {
    const RequestArrived arrived = harness.request();
    harness.handle(arrived);
    ASSERT_EQ(actionsOf<Send>(harness.advance(290)).size(), 1u);
    const std::vector<Cancel> cancelled = actionsOf<Cancel>(harness.handle(ClientDisconnected{arrived.id}));
    ASSERT_EQ(cancelled.size(), 2u);
    EXPECT_NE(cancelled[0].attempt, cancelled[1].attempt);
    EXPECT_TRUE(actionsOf<Send>(harness.advance(1900)).empty());
}

TEST_F(RequestsTest, ClientDisconnectCancelsResumedStream) {
    const RequestArrived arrived = stream(true);
    harness.handle(arrived);
    harness.head(arrived.id, 0);
    harness.handle(AttemptFirstByte{arrived.id, 0});
    const std::vector<Send> resumed = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::incomplete, "4"));
    ASSERT_EQ(resumed.size(), 1u);
    const std::vector<Cancel> cancelled = actionsOf<Cancel>(harness.handle(ClientDisconnected{arrived.id}));
    ASSERT_EQ(cancelled.size(), 1u);
    EXPECT_EQ(cancelled[0].attempt, resumed[0].attempt);
    EXPECT_TRUE(actionsOf<Send>(harness.ended(arrived.id, 1, Outcome::incomplete, "5")).empty());
}

TEST_F(RequestsTest, ClientDisconnectEndsPendingRequest) {
    harness.handle(HostList{});
    const RequestArrived arrived = harness.request();
    harness.handle(arrived);
    harness.handle(ClientDisconnected{arrived.id});
    EXPECT_TRUE(actionsOf<Send>(harness.handle(HostList{{makeHost("a")}})).empty());
}

TEST_F(RequestsTest, NonIdempotentRequestIsNeverHedged) {
    harness.handle(harness.request(RequestType::nonIdempotent));
    EXPECT_TRUE(actionsOf<Send>(harness.advance(1900)).empty());
}

TEST_F(RequestsTest, DeadlineFailsRequestAndCancelsAttempt) {
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    EXPECT_TRUE(actionsOf<Fail>(harness.advance(1999)).empty());
    const std::vector<Action> end = harness.advance(2);
    ASSERT_EQ(actionsOf<Fail>(end).size(), 1u);
    EXPECT_EQ(actionsOf<Fail>(end)[0].status, 504);
    EXPECT_EQ(actionsOf<Cancel>(end).size(), 1u);
}

TEST_F(RequestsTest, ClientDisconnectCancelsAttempts) {
    const RequestArrived arrived = harness.request();
    harness.handle(arrived);
    EXPECT_EQ(actionsOf<Cancel>(harness.handle(ClientDisconnected{arrived.id})).size(), 1u);
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
    EXPECT_TRUE(actionsOf<Relay>(harness.serve(arrived.id, 0)).empty());
}

TEST_F(RequestsTest, StreamIsRelayedFromFirstEvent) {
    const RequestArrived arrived = stream(false);
    harness.handle(arrived);
    EXPECT_TRUE(actionsOf<Relay>(harness.head(arrived.id, 0)).empty());
    EXPECT_EQ(actionsOf<Relay>(harness.handle(AttemptFirstByte{arrived.id, 0})).size(), 1u);
    EXPECT_TRUE(actionsOf<Relay>(harness.ended(arrived.id, 0, Outcome::served)).empty());
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
}

TEST_F(RequestsTest, IncompleteStreamIsAbortedWhenNotResumable) {
    const RequestArrived arrived = stream(false);
    harness.handle(arrived);
    harness.head(arrived.id, 0);
    harness.handle(AttemptFirstByte{arrived.id, 0});
    const std::vector<Action> end = harness.ended(arrived.id, 0, Outcome::incomplete, "4");
    EXPECT_TRUE(actionsOf<Send>(end).empty());
    EXPECT_EQ(actionsOf<AbortResponse>(end).size(), 1u);
}

TEST_F(RequestsTest, AnswerThatNoOtherHostCanContinueIsBrokenOff) {
    const RequestArrived arrived = stream(true);
    harness.handle(arrived);
    harness.head(arrived.id, 0);
    harness.handle(AttemptFirstByte{arrived.id, 0});
    AttemptEnded ended;
    ended.id = arrived.id;
    ended.outcome = Outcome::incomplete;
    ended.continuable = false;
    const std::vector<Action> end = harness.handle(ended);
    EXPECT_TRUE(actionsOf<Send>(end).empty());
    EXPECT_EQ(actionsOf<AbortResponse>(end).size(), 1u);
}

TEST_F(RequestsTest, IncompleteResumableStreamResumesAfterLastEvent) {
    const RequestArrived arrived = stream(true);
    const std::string first = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    harness.head(arrived.id, 0);
    harness.handle(AttemptFirstByte{arrived.id, 0});
    const std::vector<Send> next = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::incomplete, "4"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_TRUE(next[0].resume);
    EXPECT_EQ(next[0].lastEventId, "4");
    EXPECT_NE(next[0].instanceId, first);
    harness.head(arrived.id, 1);
    EXPECT_EQ(actionsOf<Relay>(harness.handle(AttemptFirstByte{arrived.id, 1})).size(), 1u);
    // Incomplete again without another event: the last event id is unchanged.
    const std::vector<Send> third = actionsOf<Send>(harness.ended(arrived.id, 1, Outcome::incomplete));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_EQ(third[0].lastEventId, "4");
    harness.head(arrived.id, 2, 500);
    const std::vector<Action> end = harness.ended(arrived.id, 2, Outcome::hostError);
    EXPECT_EQ(actionsOf<AbortResponse>(end).size(), 1u);  // maxAttempts reached
    EXPECT_TRUE(actionsOf<Fail>(end).empty());
}

TEST_F(RequestsTest, StreamIncompleteBeforeFirstEventFailsOverWithoutResuming) {
    const RequestArrived arrived = stream(true);
    harness.handle(arrived);
    harness.head(arrived.id, 0);
    const std::vector<Send> next = actionsOf<Send>(harness.ended(arrived.id, 0, Outcome::incomplete));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_FALSE(next[0].resume);
}

TEST_F(RequestsTest, PendingRequestIsRejectedWithinQuarterOfLatencyTarget) {
    harness.handle(HostList{});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    EXPECT_TRUE(actionsOf<Send>(harness.handle(arrived)).empty());
    const std::vector<Action> end = harness.advance(75);
    EXPECT_EQ(actionsOf<Reject>(end).size(), 1u);
}

TEST_F(RequestsTest, PendingRequestIsSentWhenHostIsListed) {
    harness.handle(HostList{});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    EXPECT_EQ(actionsOf<Send>(harness.handle(HostList{{makeHost("a")}})).size(), 1u);
}

TEST_F(RequestsTest, ServiceIsDrawnByWeight) {
    harness.handle(HostList{{makeHost("a", "left"), makeHost("b", "right")}});
    int left = 0;
    for (int i = 0; i < 400; ++i) {
        RequestArrived arrived = harness.request();
        arrived.services = {{"left", 3}, {"right", 1}, {"never", 0}};
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
        ASSERT_EQ(sends.size(), 1u);
        left += sends[0].service == "left";
        harness.serve(arrived.id, 0);
    }
    EXPECT_NEAR(left, 300, 35);
}

TEST_F(RequestsTest, PriorityFollowsClass) {
    RequestArrived arrived = harness.request();
    for (const auto& [priorityClass, expected] : {std::pair{0, 1}, {1, 3}, {2, 5}, {50, 9}}) {
        arrived.id = ++harness.lastId;
        arrived.priorityClass = priorityClass;
        EXPECT_EQ(actionsOf<Send>(harness.handle(arrived))[0].priority, expected);
    }
}

TEST_F(RequestsTest, EventsAboutUnknownRequestsAreIgnored) {
    EXPECT_TRUE(actionsOf<Relay>(harness.serve(9999, 0)).empty());
    EXPECT_TRUE(actionsOf<Relay>(harness.head(9999, -1)).empty());
    const RequestArrived arrived = harness.request();
    harness.handle(arrived);
    EXPECT_TRUE(actionsOf<Send>(harness.handle(arrived)).empty());  // duplicate event
    harness.head(arrived.id, 7);
    EXPECT_EQ(harness.dispatcher.requestCount(), 1u);
}

// On shutdown only requests that have not run are rejected, and nothing more is sent to hosts.
TEST_F(RequestsTest, ShutDownEndsEachRequestByItsState) {
    RequestArrived inFlight = harness.request(RequestType::nonIdempotent);
    harness.handle(inFlight);
    RequestArrived relayed = harness.request(RequestType::streaming);
    harness.handle(relayed);
    harness.head(relayed.id, 0);
    harness.handle(AttemptFirstByte{relayed.id, 0});
    harness.handle(HostList{});
    RequestArrived pending = harness.request(RequestType::nonIdempotent);
    harness.handle(pending);
    const std::vector<Action> end = harness.handle(ShutDown{});
    ASSERT_EQ(actionsOf<Fail>(end).size(), 1u);
    EXPECT_EQ(actionsOf<Fail>(end)[0].id, inFlight.id);
    ASSERT_EQ(actionsOf<AbortResponse>(end).size(), 1u);
    EXPECT_EQ(actionsOf<AbortResponse>(end)[0].id, relayed.id);
    ASSERT_EQ(actionsOf<Reject>(end).size(), 1u);
    EXPECT_EQ(actionsOf<Reject>(end)[0].id, pending.id);
    EXPECT_EQ(actionsOf<Cancel>(end).size(), 2u);
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
    EXPECT_TRUE(actionsOf<Send>(harness.advance(5000)).empty());
}

}  // namespace
}  // namespace beechpoint::dispatch
