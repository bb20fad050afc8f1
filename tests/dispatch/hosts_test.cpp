// What is known of hosts: draining, evacuated, in other regions, warming up, full, partitioned, removed.
#include <map>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

std::map<std::string, int> sendMany(Harness& harness, int count, Millis apart = 5,
                                    RequestType type = RequestType::nonIdempotent) {
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i) {
        const RequestArrived arrived = harness.request(type);
        const std::vector<Send> sends = only<Send>(harness.handle(arrived));
        for (const Send& send : sends) ++sent[send.instanceId];
        harness.advance(apart);
        if (!sends.empty()) harness.serve(arrived.id, 0);
    }
    return sent;
}

TEST(HostsTest, DrainingAndRemovedHostsGetNothing) {
    Harness harness;
    Host draining = hostNamed("a");
    harness.start({draining, hostNamed("b"), hostNamed("c")}, {serviceNamed("svc")});
    EXPECT_EQ(sendMany(harness, 60).size(), 3u);
    draining.state = HostState::draining;
    harness.handle(HostList{{draining, hostNamed("b")}});
    const std::map<std::string, int> sent = sendMany(harness, 60);
    EXPECT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent.count("b"), 1u);
}

TEST(HostsTest, EndedInstanceGetsNothingWhileItIsStillListed) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::vector<Send> sends = only<Send>(harness.handle(arrived));
    ASSERT_EQ(sends.size(), 1u);
    const std::string ended = sends[0].instanceId;
    const std::string other = ended == "a" ? "b" : "a";
    harness.ended(arrived.id, 0, Outcome::misdirected);
    harness.serve(arrived.id, 1);
    harness.handle(HostList{{hostNamed("a"), hostNamed("b")}});
    EXPECT_EQ(sendMany(harness, 40).count(ended), 0u);
    harness.handle(HostList{{hostNamed(other), hostNamed("c")}});
    EXPECT_GT(sendMany(harness, 40).count("c"), 0u) << "the instance that took its place";
}

// A further attempt after one that arrived at another instance is a retry, and charged as one.
TEST(HostsTest, AttemptAfterMisdirectedOneIsChargedToTheRetryBudget) {
    Settings settings = testSettings();
    settings.retryBudgetRatio = 0;
    settings.retryBudgetSlack = 0;
    Harness harness(settings);
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    const std::vector<Action> actions = harness.ended(arrived.id, 0, Outcome::misdirected);
    EXPECT_TRUE(only<Send>(actions).empty());
    ASSERT_EQ(only<Reject>(actions).size(), 1u);
    EXPECT_EQ(only<Reject>(actions)[0].reason, RejectReason::retryBudget);
}

TEST(HostsTest, EvacuatedZoneGetsNothingAndReturnsWarmingUp) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b", "svc", "north", "north-2")}, {serviceNamed("svc", 3, 2)});
    harness.handle(EvacuatedZones{{"north-2"}});
    EXPECT_EQ(sendMany(harness, 40).count("b"), 0u);
    harness.handle(EvacuatedZones{});
    EXPECT_LE(sendMany(harness, 100).at("b"), 4);  // half a second, at 2 x 1.5 + 5 a second for two gateways
    harness.advance(3000);
    EXPECT_GE(sendMany(harness, 100)["b"], 20);
}

TEST(HostsTest, OnlyHostsInAllowedRegionsGetRequests) {
    Harness harness;
    harness.start(
        {hostNamed("a"), hostNamed("b", "svc", "south", "south-1"), hostNamed("c", "svc", "", "lost")},
        {serviceNamed("svc")});
    for (int i = 0; i < 50; ++i) {
        RequestArrived arrived = harness.request();
        arrived.allowedRegions = {"south"};
        const std::vector<Send> sends = only<Send>(harness.handle(arrived));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].instanceId, "b");
        harness.serve(arrived.id, 0);
    }
    RequestArrived nowhere = harness.request();
    nowhere.allowedRegions = std::vector<std::string>{};
    EXPECT_TRUE(only<Send>(harness.handle(nowhere)).empty());
    EXPECT_EQ(only<Reject>(harness.advance(100)).size(), 1u);
}

TEST(HostsTest, HostListedLaterIsWarmingUpForServiceWarmup) {
    Harness harness;
    harness.start({hostNamed("a")}, {serviceNamed("svc", 3, 2)}, 1);
    harness.handle(HostList{{hostNamed("a"), hostNamed("b")}});
    EXPECT_LE(sendMany(harness, 200)["b"], 4);
    harness.advance(3000);
    EXPECT_GE(sendMany(harness, 200)["b"], 50);
}

TEST(HostsTest, HostThatReportsWarmupIsBoundedFromThen) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc", 3, 2)});
    EXPECT_GE(sendMany(harness, 100)["b"], 20);
    harness.handle(WarmupReported{"b", 2000});
    EXPECT_LE(sendMany(harness, 100)["b"], 4);
}

TEST(HostsTest, WarmingUpHostGetsNothingWhenFleetIsUnknown) {
    Harness harness;
    harness.start({hostNamed("a")}, {serviceNamed("svc", 3, 2)});
    harness.handle(Fleet{0, false, -1});
    harness.handle(HostList{{hostNamed("a"), hostNamed("b")}});
    EXPECT_EQ(sendMany(harness, 100).count("b"), 0u);
}

TEST(HostsTest, FullHostIsAvoidedByNextRequest) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string full = only<Send>(harness.handle(arrived))[0].instanceId;
    harness.ended(arrived.id, 0, Outcome::rejected);
    const RequestArrived next = harness.request(RequestType::nonIdempotent);
    EXPECT_NE(only<Send>(harness.handle(next))[0].instanceId, full);
}

TEST(HostsTest, PartitionedHostIsCheckedAndGetsNothingUntilHealthy) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc", 3, 2)});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string partitioned = only<Send>(harness.handle(arrived))[0].instanceId;
    const std::vector<CheckHealth> checks =
        only<CheckHealth>(harness.ended(arrived.id, 0, Outcome::notConnected));
    ASSERT_EQ(checks.size(), 1u);
    EXPECT_EQ(checks[0].instanceId, partitioned);
    harness.serve(arrived.id, 1);
    EXPECT_EQ(sendMany(harness, 50).count(partitioned), 0u);
    harness.handle(HealthCheckEnded{partitioned, false, 0, false});
    const std::vector<CheckHealth> again = only<CheckHealth>(harness.advance(600));
    ASSERT_EQ(again.size(), 1u);
    harness.handle(HealthCheckEnded{partitioned, true, 0, true});
    const int soon = sendMany(harness, 100)[partitioned];
    EXPECT_LE(soon, 4);  // it may have been started anew: warming up
    harness.advance(3000);
    EXPECT_GT(sendMany(harness, 100)[partitioned], 20);
}

TEST(HostsTest, UnresponsiveHostIsCheckedAndGetsNothingWhenCheckFails) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string unresponsive = only<Send>(harness.handle(arrived))[0].instanceId;
    const std::vector<CheckHealth> checks = only<CheckHealth>(harness.advance(600));
    ASSERT_EQ(checks.size(), 1u);
    EXPECT_EQ(checks[0].instanceId, unresponsive);
    harness.handle(HealthCheckEnded{unresponsive, false, 0, false});
    EXPECT_EQ(sendMany(harness, 50).count(unresponsive), 0u);
}

TEST(HostsTest, FailingHostGetsFewerRequests) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    int toFailing = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        const std::vector<Send> sends = only<Send>(harness.handle(arrived));
        ASSERT_EQ(sends.size(), 1u);
        harness.advance(20);
        if (sends[0].instanceId == "a") {
            ++toFailing;
            harness.head(arrived.id, 0, 500);
            harness.ended(arrived.id, 0, Outcome::hostError);
        } else {
            harness.serve(arrived.id, 0);
        }
    }
    EXPECT_LT(toFailing, 20);
}

TEST(HostsTest, OwnRegionIsPreferredButNotRequired) {
    Harness harness;
    harness.start({hostNamed("a"), hostNamed("b", "svc", "south", "south-1")}, {serviceNamed("svc")});
    std::map<std::string, int> sent;
    for (int i = 0; i < 300; ++i) {
        RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        arrived.bodyBytes = 5000;
        ++sent[only<Send>(harness.handle(arrived))[0].instanceId];
        harness.advance(50);
        harness.serve(arrived.id, 0);
    }
    EXPECT_GT(sent["a"], 200);
    harness.handle(HostList{{hostNamed("b", "svc", "south", "south-1")}});
    EXPECT_EQ(only<Send>(harness.handle(harness.request())).size(), 1u);
}

TEST(HostsTest, RemovedHostsAreForgotten) {
    Harness harness;
    harness.start({}, {serviceNamed("svc")});
    for (int i = 0; i < 300; ++i) {
        harness.handle(HostList{{hostNamed("i-" + std::to_string(i))}});
        sendMany(harness, 2);
        harness.advance(1000);
    }
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
    EXPECT_EQ(harness.dispatcher.attemptsInFlight(), 0u);
    EXPECT_LE(harness.dispatcher.hostSlotCount(), 60u);
}

}  // namespace
}  // namespace beechpoint::dispatch
