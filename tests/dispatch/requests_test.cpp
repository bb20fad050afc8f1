// One request's way: answered, failed over, copied, resumed, refused, given up.
#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

class RequestsTest : public testing::Test {
protected:
    Harness h;
    void SetUp() override {
        h.start({hostNamed("a"), hostNamed("b"), hostNamed("c")}, {serviceNamed("svc")});
        for (int i = 0; i < 40; ++i) {  // a history, so that the budgets are not empty
            const RequestArrived arrived = h.request();
            h.tell(arrived);
            h.pass(10);
            h.serve(arrived.id, 0);
        }
        h.all.clear();
    }
    RequestArrived stream(bool resumable) {
        RequestArrived arrived = h.request(RequestType::streaming);
        arrived.resumable = resumable;
        return arrived;
    }
};

TEST_F(RequestsTest, AWholeAnswerIsRelayedOnceAndEndsTheRequest) {
    const RequestArrived arrived = h.request();
    const std::vector<Send> sends = only<Send>(h.tell(arrived));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].within, 2000);
    EXPECT_EQ(sends[0].address, sends[0].instanceId + ":80");
    EXPECT_TRUE(only<Relay>(h.head(arrived.id, 0)).empty());  // short and repeatable: kept until it is whole
    EXPECT_EQ(only<Relay>(h.ended(arrived.id, 0, Outcome::served)).size(), 1u);
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
    EXPECT_EQ(h.dispatcher.attemptsInFlight(), 0u);
}

TEST_F(RequestsTest, AnAnswerThatCannotBeRepeatedIsRelayedAtItsHead) {
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    EXPECT_EQ(only<Relay>(h.head(arrived.id, 0, 500)).size(), 1u);  // unchanged, whatever the status
    EXPECT_TRUE(only<Fail>(h.ended(arrived.id, 0, Outcome::hostError)).empty());
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
}

TEST_F(RequestsTest, AHostsUnprovenPromiseIsNotPassedOn) {
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    EXPECT_TRUE(only<Relay>(h.head(arrived.id, 0, 503)).empty());
    const std::vector<Action> end = h.ended(arrived.id, 0, Outcome::hostError);
    ASSERT_EQ(only<Fail>(end).size(), 1u);
    EXPECT_EQ(only<Fail>(end)[0].status, 502);
}

TEST_F(RequestsTest, ASuccessWithoutSealIsNoAnswer) {
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    AttemptHead head;
    head.id = arrived.id;
    head.status = 200;
    head.sealed = false;
    EXPECT_TRUE(only<Relay>(h.tell(head)).empty());
    EXPECT_EQ(only<Fail>(h.ended(arrived.id, 0, Outcome::served)).size(), 1u);
}

TEST_F(RequestsTest, ARepeatableRequestFailsOverToAnotherHost) {
    const RequestArrived arrived = h.request();
    const std::string first = only<Send>(h.tell(arrived))[0].instanceId;
    h.head(arrived.id, 0, 500);
    const std::vector<Send> next = only<Send>(h.ended(arrived.id, 0, Outcome::hostError));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].attempt, 1);
    EXPECT_NE(next[0].instanceId, first);
    EXPECT_EQ(only<Relay>(h.serve(arrived.id, 1)).size(), 1u);
}

TEST_F(RequestsTest, AnUnrepeatableRequestThatMayHaveRunFails) {
    for (const Outcome outcome : {Outcome::resetBeforeAnswer, Outcome::malformed, Outcome::attemptIdMismatch,
                                  Outcome::timedOut, Outcome::incomplete, Outcome::hostError}) {
        const RequestArrived arrived = h.request(RequestType::nonIdempotent);
        ASSERT_EQ(only<Send>(h.tell(arrived)).size(), 1u);
        const std::vector<Action> end = h.ended(arrived.id, 0, outcome);
        EXPECT_TRUE(only<Send>(end).empty());
        EXPECT_TRUE(only<Reject>(end).empty());
        EXPECT_EQ(only<Fail>(end).size(), 1u);
        for (const std::string host : {"a", "b", "c"}) h.tell(HealthCheckEnded{host, true, 0, true});
    }
}

TEST_F(RequestsTest, AnUnrepeatableRequestThatNeverRanGoesOn) {
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    h.head(arrived.id, 0, 503, true);
    const std::vector<Send> next = only<Send>(h.ended(arrived.id, 0, Outcome::rejected));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(only<Send>(h.ended(arrived.id, 1, Outcome::notConnected)).size(), 1u);
}

TEST_F(RequestsTest, ADialThatFailsUsesUpNoHostOfTheRequest) {
    RequestArrived arrived = h.request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    h.tell(arrived);
    EXPECT_EQ(only<Send>(h.ended(arrived.id, 0, Outcome::notConnected)).size(), 1u);
    EXPECT_EQ(only<Reject>(h.ended(arrived.id, 1, Outcome::rejected)).size(), 1u);
}

TEST_F(RequestsTest, MaxAttemptsBoundsTheHosts) {
    RequestArrived arrived = h.request();
    arrived.maxAttempts = 2;
    h.tell(arrived);
    EXPECT_EQ(only<Send>(h.ended(arrived.id, 0, Outcome::hostError)).size(), 1u);
    const std::vector<Action> end = h.ended(arrived.id, 1, Outcome::hostError);
    EXPECT_TRUE(only<Send>(end).empty());
    EXPECT_TRUE(only<Reject>(end).empty());  // it has run, twice
    EXPECT_EQ(only<Fail>(end).size(), 1u);
}

TEST_F(RequestsTest, WhatNeverRanIsRefusedWithATimeToComeBack) {
    RequestArrived arrived = h.request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    h.tell(arrived);
    const std::vector<Reject> refusals = only<Reject>(h.ended(arrived.id, 0, Outcome::rejected));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals[0].status, 503);
    EXPECT_GT(refusals[0].retryAfter, 0);
}

TEST_F(RequestsTest, AnOverdueRepeatableAttemptGetsACopyAndTheTwinIsCancelled) {
    const RequestArrived arrived = h.request();
    const std::string first = only<Send>(h.tell(arrived))[0].instanceId;
    const std::vector<Send> copies = only<Send>(h.pass(290));
    ASSERT_EQ(copies.size(), 1u);
    EXPECT_NE(copies[0].instanceId, first);
    const std::vector<Action> won = h.serve(arrived.id, 1);
    ASSERT_EQ(only<Relay>(won).size(), 1u);
    EXPECT_EQ(only<Relay>(won)[0].attempt, 1);
    ASSERT_EQ(only<Cancel>(won).size(), 1u);
    EXPECT_EQ(only<Cancel>(won)[0].attempt, 0);
    EXPECT_EQ(h.dispatcher.attemptsInFlight(), 1u);
    h.ended(arrived.id, 0, Outcome::cancelled);
    EXPECT_EQ(h.dispatcher.attemptsInFlight(), 0u);
}

TEST_F(RequestsTest, AnUnrepeatableOneIsNeverCopied) {
    h.tell(h.request(RequestType::nonIdempotent));
    EXPECT_TRUE(only<Send>(h.pass(1900)).empty());
}

TEST_F(RequestsTest, TheDeadlineEndsIt) {
    RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    EXPECT_TRUE(only<Fail>(h.pass(1999)).empty());
    const std::vector<Action> end = h.pass(2);
    ASSERT_EQ(only<Fail>(end).size(), 1u);
    EXPECT_EQ(only<Fail>(end)[0].status, 504);
    EXPECT_EQ(only<Cancel>(end).size(), 1u);
}

TEST_F(RequestsTest, AClientThatLeavesCancelsItsAttempts) {
    const RequestArrived arrived = h.request();
    h.tell(arrived);
    EXPECT_EQ(only<Cancel>(h.tell(ClientDisconnected{arrived.id})).size(), 1u);
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
    EXPECT_TRUE(only<Relay>(h.serve(arrived.id, 0)).empty());
}

TEST_F(RequestsTest, AStreamIsRelayedFromItsFirstEvent) {
    const RequestArrived arrived = stream(false);
    h.tell(arrived);
    EXPECT_TRUE(only<Relay>(h.head(arrived.id, 0)).empty());
    EXPECT_EQ(only<Relay>(h.tell(AttemptFirstByte{arrived.id, 0})).size(), 1u);
    EXPECT_TRUE(only<Relay>(h.ended(arrived.id, 0, Outcome::served)).empty());
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
}

TEST_F(RequestsTest, ABrokenStreamThatCannotBeResumedIsBrokenOff) {
    const RequestArrived arrived = stream(false);
    h.tell(arrived);
    h.head(arrived.id, 0);
    h.tell(AttemptFirstByte{arrived.id, 0});
    const std::vector<Action> end = h.ended(arrived.id, 0, Outcome::incomplete, "4");
    EXPECT_TRUE(only<Send>(end).empty());
    EXPECT_EQ(only<AbortResponse>(end).size(), 1u);
}

TEST_F(RequestsTest, ABrokenResumableStreamGoesOnBehindItsLastEvent) {
    const RequestArrived arrived = stream(true);
    const std::string first = only<Send>(h.tell(arrived))[0].instanceId;
    h.head(arrived.id, 0);
    h.tell(AttemptFirstByte{arrived.id, 0});
    const std::vector<Send> next = only<Send>(h.ended(arrived.id, 0, Outcome::incomplete, "4"));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_TRUE(next[0].resume);
    EXPECT_EQ(next[0].lastEventId, "4");
    EXPECT_NE(next[0].instanceId, first);
    h.head(arrived.id, 1);
    EXPECT_EQ(only<Relay>(h.tell(AttemptFirstByte{arrived.id, 1})).size(), 1u);
    // Broken again without a further event: the position stays.
    const std::vector<Send> third = only<Send>(h.ended(arrived.id, 1, Outcome::incomplete));
    ASSERT_EQ(third.size(), 1u);
    EXPECT_EQ(third[0].lastEventId, "4");
    h.head(arrived.id, 2, 500);
    const std::vector<Action> end = h.ended(arrived.id, 2, Outcome::hostError);
    EXPECT_EQ(only<AbortResponse>(end).size(), 1u);  // max_attempts
    EXPECT_TRUE(only<Fail>(end).empty());
}

TEST_F(RequestsTest, AStreamThatBreaksBeforeItsFirstEventFailsOverWithoutResuming) {
    const RequestArrived arrived = stream(true);
    h.tell(arrived);
    h.head(arrived.id, 0);
    const std::vector<Send> next = only<Send>(h.ended(arrived.id, 0, Outcome::incomplete));
    ASSERT_EQ(next.size(), 1u);
    EXPECT_FALSE(next[0].resume);
}

TEST_F(RequestsTest, WithoutAHostItIsRefusedWithinAQuarterOfItsAim) {
    h.tell(HostList{});
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    EXPECT_TRUE(only<Send>(h.tell(arrived)).empty());
    const std::vector<Action> end = h.pass(75);
    EXPECT_EQ(only<Reject>(end).size(), 1u);
}

TEST_F(RequestsTest, WhatWaitsIsSentWhenAHostComes) {
    h.tell(HostList{});
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    h.tell(arrived);
    EXPECT_EQ(only<Send>(h.tell(HostList{{hostNamed("a")}})).size(), 1u);
}

TEST_F(RequestsTest, TheSplitIsDrawnByWeight) {
    h.tell(HostList{{hostNamed("a", "left"), hostNamed("b", "right")}});
    int left = 0;
    for (int i = 0; i < 400; ++i) {
        RequestArrived arrived = h.request();
        arrived.services = {{"left", 3}, {"right", 1}, {"never", 0}};
        const std::vector<Send> sends = only<Send>(h.tell(arrived));
        ASSERT_EQ(sends.size(), 1u);
        left += sends[0].service == "left";
        h.serve(arrived.id, 0);
    }
    EXPECT_NEAR(left, 300, 35);
}

TEST_F(RequestsTest, PriorityFollowsTheClass) {
    RequestArrived arrived = h.request();
    for (const auto& [priorityClass, expected] : {std::pair{0, 1}, {1, 3}, {2, 5}, {50, 9}}) {
        arrived.id = ++h.lastId;
        arrived.priorityClass = priorityClass;
        EXPECT_EQ(only<Send>(h.tell(arrived))[0].priority, expected);
    }
}

TEST_F(RequestsTest, EventsAboutWhatIsNotHeldAreNormal) {
    EXPECT_TRUE(only<Relay>(h.serve(9999, 0)).empty());
    EXPECT_TRUE(only<Relay>(h.head(9999, -1)).empty());
    const RequestArrived arrived = h.request();
    h.tell(arrived);
    EXPECT_TRUE(only<Send>(h.tell(arrived)).empty());  // told twice
    h.head(arrived.id, 7);
    EXPECT_EQ(h.dispatcher.requestCount(), 1u);
}

// The process ends: who may have run is not promised otherwise, and no host is asked any more.
TEST_F(RequestsTest, ClosingGivesEachRequestItsTrueEnd) {
    RequestArrived out = h.request(RequestType::nonIdempotent);
    h.tell(out);
    RequestArrived begun = h.request(RequestType::streaming);
    h.tell(begun);
    h.head(begun.id, 0);
    h.tell(AttemptFirstByte{begun.id, 0});
    h.tell(HostList{});
    RequestArrived waiting = h.request(RequestType::nonIdempotent);
    h.tell(waiting);
    const std::vector<Action> end = h.tell(ShutDown{});
    ASSERT_EQ(only<Fail>(end).size(), 1u);
    EXPECT_EQ(only<Fail>(end)[0].id, out.id);
    ASSERT_EQ(only<AbortResponse>(end).size(), 1u);
    EXPECT_EQ(only<AbortResponse>(end)[0].id, begun.id);
    ASSERT_EQ(only<Reject>(end).size(), 1u);
    EXPECT_EQ(only<Reject>(end)[0].id, waiting.id);
    EXPECT_EQ(only<Cancel>(end).size(), 2u);
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
    EXPECT_TRUE(only<Send>(h.pass(5000)).empty());
}

}  // namespace
}  // namespace beechpoint::dispatch
