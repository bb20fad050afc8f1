// The reason of each rejection, by the rows of the table in dispatch/reject_reason.hpp.
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
        harness->start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    }
    // Expects exactly one rejection among the actions, with this reason.
    static void expectRejected(const std::vector<Action>& actions, RejectReason reason) {
        const std::vector<Reject> rejections = actionsOf<Reject>(actions);
        ASSERT_EQ(rejections.size(), 1u);
        EXPECT_EQ(rejections.front().reason, reason);
        EXPECT_EQ(rejections.front().status, 503);
    }

    std::unique_ptr<Harness> harness;
};

TEST_F(RejectReasonTest, IsNoServiceWhenWeightsSumToZero) {
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
    for (int i = 0; i < 10; ++i) {  // slow answers increase the expected wait
        RequestArrived slow = harness->request();
        slow.deadline = 30000;
        harness->handle(slow);
        harness->advance(900);
        harness->serve(slow.id, 0);
    }
    std::vector<Action> actions;
    for (int i = 0; i < 40 && actionsOf<Reject>(actions).empty(); ++i) {
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

TEST_F(RejectReasonTest, IsAttemptLimitWhenMaxAttemptsAreRejected) {
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
        ASSERT_TRUE(actionsOf<Reject>(actions).empty());
        harness->handle(HealthCheckEnded{"a", true, 0, true});
        harness->handle(HealthCheckEnded{"b", true, 0, true});
        actions = harness->ended(arrived.id, attempt, Outcome::noCapacity);
        if (actionsOf<Reject>(actions).empty()) harness->advance(60);
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

TEST_F(RejectReasonTest, IsShutDownWhenProcessShutsDown) {
    start();
    harness->handle(HostList{});
    harness->handle(harness->request(RequestType::nonIdempotent));
    expectRejected(harness->handle(ShutDown{}), RejectReason::shutDown);
}

// The check of a pending request runs after its deadline, for example because the process was delayed. The
// request has not run, so it is rejected.
TEST_F(RejectReasonTest, IsDeadlinePassedWhenPendingBeyondItsDeadline) {
    start();
    harness->handle(HostList{});
    harness->handle(harness->request());
    harness->now += 2500;
    const std::vector<Action> actions = harness->handle(Tick{});
    expectRejected(actions, RejectReason::deadlinePassed);
    EXPECT_TRUE(actionsOf<Fail>(actions).empty());
}

TEST_F(RejectReasonTest, IsSetInFailuresToo) {
    start();
    const RequestArrived late = harness->request(RequestType::nonIdempotent);
    harness->handle(late);
    const std::vector<Fail> timedOut = actionsOf<Fail>(harness->advance(2100));
    ASSERT_EQ(timedOut.size(), 1u);
    EXPECT_EQ(timedOut.front().reason, RejectReason::deadlinePassed);
    const RequestArrived broken = harness->request(RequestType::nonIdempotent);
    harness->handle(broken);
    const std::vector<Fail> failed =
        actionsOf<Fail>(harness->ended(broken.id, 0, Outcome::resetBeforeAnswer));
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
