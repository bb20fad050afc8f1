#include "dispatch/admission.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

TEST(Admission, NothingIsRefusedWhilePlacesAreFree) {
    EXPECT_TRUE(admit({60000, 0.5, 300, 2000, 9}).admitted);
}

TEST(Admission, TheLessUrgentIsRefusedFirst) {
    const Millis wait = 700;
    EXPECT_TRUE(admit({wait, 0.9, 300, 2000, 0}).admitted);
    EXPECT_FALSE(admit({wait, 0.9, 300, 2000, 2}).admitted);
    EXPECT_FALSE(admit({1300, 0.9, 300, 2000, 0}).admitted);
}

TEST(Admission, ComingBackIsSoonAndWithinAThirdOfTheTimeLeft) {
    EXPECT_EQ(retryAfter(0, 60000), 300);
    EXPECT_EQ(retryAfter(5000, 60000), 1000);
    EXPECT_LE(retryAfter(5000, 600), 200);
    EXPECT_EQ(retryAfter(100, -5), 0);
}

TEST(Admission, PatienceEndsWithinAQuarterOfTheAim) {
    EXPECT_LT(maxPendingTime(400, 5000), 100);
    EXPECT_LT(maxPendingTime(400, 50), 50);
}

TEST(Admission, AFullServiceRefusesAtOnce) {
    Harness h;
    Host host = hostNamed("a");
    host.capacity = 2;
    h.start({host}, {serviceNamed("svc")});
    // Enough slow answers that the host is known to be slow, and then more than it has places for.
    for (int i = 0; i < 10; ++i) {
        RequestArrived arrived = h.request();
        arrived.deadline = 30000;
        h.tell(arrived);
        h.pass(900);
        h.serve(arrived.id, 0);
    }
    bool refused = false;
    for (int i = 0; i < 12 && !refused; ++i) {
        RequestArrived arrived = h.request(RequestType::nonIdempotent);
        arrived.priorityClass = 2;
        const std::vector<Reject> refusals = only<Reject>(h.tell(arrived));
        if (refusals.empty()) continue;
        refused = true;
        EXPECT_GE(i, 1);  // not while half of the places were free
        EXPECT_EQ(refusals.front().status, 503);
        EXPECT_GT(refusals.front().retryAfter, 0);
        EXPECT_LE(refusals.front().retryAfter, 2000 / 3.0);
    }
    EXPECT_TRUE(refused);
}

TEST(Admission, TooManyHeldAreRefused) {
    Settings settings = testSettings();
    settings.maxRequests = 3;
    Harness h(settings);
    h.start({hostNamed("a")}, {serviceNamed("svc")});
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(only<Reject>(h.tell(h.request())).empty());
    EXPECT_EQ(only<Reject>(h.tell(h.request())).size(), 1u);
    EXPECT_EQ(h.dispatcher.requestCount(), 3u);
}

}  // namespace
}  // namespace beechpoint::dispatch
