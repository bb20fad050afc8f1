// Each rejection names its reason: the rows of dispatch/reject_reason.hpp.
#include "dispatch/reject_reason.hpp"

#include <memory>
#include <set>
#include <string_view>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

class RejectReasonTest : public testing::Test {
protected:
    void start(const Settings& settings = testSettings()) {
        harness = std::make_unique<Harness>(settings);
        harness->start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    }
    // The reason of the only rejection among the actions.
    static void expectRejected(const std::vector<Action>& actions, RejectReason reason) {
        const std::vector<Reject> rejections = only<Reject>(actions);
        ASSERT_EQ(rejections.size(), 1u);
        EXPECT_EQ(rejections.front().reason, reason);
        EXPECT_EQ(rejections.front().status, 503);
    }

    std::unique_ptr<Harness> harness;
};

TEST_F(RejectReasonTest, IsNoServiceWhenWeightsAddUpToNothing) {
    start();
    RequestArrived arrived = harness->request();
    arrived.services = {{"svc", 0}};
    expectRejected(harness->handle(arrived), RejectReason::noService);
}

TEST_F(RejectReasonTest, IsDeadlinePassedWhenNoTimeIsLeftAtArrival) {
    start();
    RequestArrived arrived = harness->request();
    arrived.deadline = 0;
    expectRejected(harness->handle(arrived), RejectReason::deadlinePassed);
}

TEST_F(RejectReasonTest, IsRequestLimitWhenMaxRequestsAreInFlight) {
    Settings settings = testSettings();
    settings.maxRequests = 1;
    start(settings);
    harness->handle(harness->request());
    expectRejected(harness->handle(harness->request()), RejectReason::requestLimit);
}

TEST_F(RejectReasonTest, IsAdmissionWhenExpectedWaitIsTooLong) {
    start();
    for (int i = 0; i < 10; ++i) {  // slow answers, so that long waits are expected
        RequestArrived slow = harness->request();
        slow.deadline = 30000;
        harness->handle(slow);
        harness->advance(900);
        harness->serve(slow.id, 0);
    }
    std::vector<Action> actions;
    for (int i = 0; i < 40 && only<Reject>(actions).empty(); ++i) {
        RequestArrived arrived = harness->request(RequestType::nonIdempotent);
        arrived.priorityClass = 2;
        actions = harness->handle(arrived);
    }
    expectRejected(actions, RejectReason::admission);
}

TEST_F(RejectReasonTest, IsNoHostAvailableWhenPendingForTooLong) {
    start();
    harness->handle(HostList{});
    harness->handle(harness->request());
    expectRejected(harness->advance(75), RejectReason::noHostAvailable);
}

TEST_F(RejectReasonTest, IsAttemptLimitWhenAllHostsAllowedRejected) {
    start();
    RequestArrived arrived = harness->request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    harness->handle(arrived);
    expectRejected(harness->ended(arrived.id, 0, Outcome::rejected), RejectReason::attemptLimit);
}

TEST_F(RejectReasonTest, IsConnectLimitWhenNoConnectionCouldBeMade) {
    start();
    RequestArrived arrived = harness->request(RequestType::nonIdempotent);
    arrived.maxAttempts = 1;
    arrived.latencyTarget = 1000;
    harness->handle(arrived);
    std::vector<Action> actions;
    for (int attempt = 0; attempt < 5; ++attempt) {
        ASSERT_TRUE(only<Reject>(actions).empty());
        harness->handle(HealthCheckEnded{"a", true, 0, true});
        harness->handle(HealthCheckEnded{"b", true, 0, true});
        actions = harness->ended(arrived.id, attempt, Outcome::noCapacity);
        if (only<Reject>(actions).empty()) harness->advance(60);
    }
    expectRejected(actions, RejectReason::connectLimit);
}

TEST_F(RejectReasonTest, IsRetryBudgetWhenItIsSpent) {
    Settings settings = testSettings();
    settings.retryBudgetRatio = 0;
    settings.retryBudgetSlack = 0;
    start(settings);
    const RequestArrived arrived = harness->request(RequestType::nonIdempotent);
    harness->handle(arrived);
    expectRejected(harness->ended(arrived.id, 0, Outcome::rejected), RejectReason::retryBudget);
}

TEST_F(RejectReasonTest, IsShutDownWhenProcessEnds) {
    start();
    harness->handle(HostList{});
    harness->handle(harness->request(RequestType::nonIdempotent));
    expectRejected(harness->handle(ShutDown{}), RejectReason::shutDown);
}

// Its check comes only after its deadline, as where the process was delayed. Nothing has run, and the answer says so.
TEST_F(RejectReasonTest, IsDeadlinePassedWhenPendingBeyondItsDeadline) {
    start();
    harness->handle(HostList{});
    harness->handle(harness->request());
    harness->now += 2500;
    const std::vector<Action> actions = harness->handle(Tick{});
    expectRejected(actions, RejectReason::deadlinePassed);
    EXPECT_TRUE(only<Fail>(actions).empty());
}

TEST_F(RejectReasonTest, IsNamedInFailuresToo) {
    start();
    const RequestArrived late = harness->request(RequestType::nonIdempotent);
    harness->handle(late);
    const std::vector<Fail> timedOut = only<Fail>(harness->advance(2100));
    ASSERT_EQ(timedOut.size(), 1u);
    EXPECT_EQ(timedOut.front().reason, RejectReason::deadlinePassed);
    const RequestArrived broken = harness->request(RequestType::nonIdempotent);
    harness->handle(broken);
    const std::vector<Fail> failed = only<Fail>(harness->ended(broken.id, 0, Outcome::resetBeforeAnswer));
    ASSERT_EQ(failed.size(), 1u);
    EXPECT_EQ(failed.front().reason, RejectReason::mayRunTwice);
}

TEST(RejectReasonNames, AreDifferentForEachReason) {
    std::set<std::string_view> names;
    for (std::size_t reason = 0; reason < kRejectReasonCount; ++reason)
        names.insert(nameOf(static_cast<RejectReason>(reason)));
    EXPECT_EQ(names.size(), kRejectReasonCount);
}

}  // namespace
}  // namespace beechpoint::dispatch
