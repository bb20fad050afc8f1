#include "dispatch/admission.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

TEST(Admission, AdmitsWhenUtilizationIsLow) { EXPECT_TRUE(admit({60000, 0.5, 300, 2000, 9}).admitted); }

TEST(Admission, RejectsLessUrgentClassAtShorterWait) {
    const Millis wait = 700;
    EXPECT_TRUE(admit({wait, 0.9, 300, 2000, 0}).admitted);
    EXPECT_FALSE(admit({wait, 0.9, 300, 2000, 2}).admitted);
    EXPECT_FALSE(admit({1300, 0.9, 300, 2000, 0}).admitted);
}

TEST(Admission, RetryAfterIsBoundedAndWithinThirdOfTimeLeft) {
    EXPECT_EQ(retryAfter(0, 60000), 300);
    EXPECT_EQ(retryAfter(5000, 60000), 1000);
    EXPECT_LE(retryAfter(5000, 600), 200);
    EXPECT_EQ(retryAfter(100, -5), 0);
}

TEST(Admission, MaxPendingTimeIsWithinQuarterOfLatencyTarget) {
    EXPECT_LT(maxPendingTime(400, 5000), 100);
    EXPECT_LT(maxPendingTime(400, 50), 50);
}

TEST(Admission, RejectsAtArrivalWhenServiceIsFull) {
    Harness harness;
    Host host = makeHost("a");
    host.capacity = 2;
    harness.start({host}, {makeService("svc")});
    // Slow answers first, so that the host is measured as slow, then more requests than its capacity.
    for (int i = 0; i < 10; ++i) {
        RequestArrived arrived = harness.request();
        arrived.deadline = 30000;
        harness.handle(arrived);
        harness.advance(900);
        harness.serve(arrived.id, 0);
    }
    bool rejected = false;
    for (int i = 0; i < 12 && !rejected; ++i) {
        RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        arrived.priorityClass = 2;
        const std::vector<Reject> rejections = actionsOf<Reject>(harness.handle(arrived));
        if (rejections.empty()) continue;
        rejected = true;
        EXPECT_GE(i, 1);  // not while half of the capacity is free
        EXPECT_EQ(rejections.front().status, 503);
        EXPECT_GT(rejections.front().retryAfter, 0);
        EXPECT_LE(rejections.front().retryAfter, 2000 / 3.0);
    }
    EXPECT_TRUE(rejected);
}

TEST(Admission, RejectsWhenRequestLimitIsReached) {
    Settings settings = testSettings();
    settings.maxRequests = 3;
    Harness harness(settings);
    harness.start({makeHost("a")}, {makeService("svc")});
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(actionsOf<Reject>(harness.handle(harness.request())).empty());
    EXPECT_EQ(actionsOf<Reject>(harness.handle(harness.request())).size(), 1u);
    EXPECT_EQ(harness.dispatcher.requestCount(), 3u);
}

}  // namespace
}  // namespace beechpoint::dispatch
