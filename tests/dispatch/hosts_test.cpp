// States of hosts and their effect on sends: draining, evacuated, other region, warming up, full,
// partitioned, removed.
#include <map>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

std::map<std::string, int> sendMany(Harness& harness, int count, Millis interval = 5,
                                    RequestType type = RequestType::nonIdempotent) {
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i) {
        const RequestArrived arrived = harness.request(type);
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
        for (const Send& send : sends) ++sent[send.instanceId];
        harness.advance(interval);
        if (!sends.empty()) harness.serve(arrived.id, 0);
    }
    return sent;
}

TEST(HostsTest, DrainingAndRemovedHostsGetNoRequests) {
    Harness harness;
    Host draining = makeHost("a");
    harness.start({draining, makeHost("b"), makeHost("c")}, {makeService("svc")});
    EXPECT_EQ(sendMany(harness, 60).size(), 3u);
    draining.state = HostState::draining;
    harness.handle(HostList{{draining, makeHost("b")}});
    const std::map<std::string, int> sent = sendMany(harness, 60);
    EXPECT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent.count("b"), 1u);
}

TEST(HostsTest, EndedInstanceGetsNoRequestsWhileStillListed) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
    ASSERT_EQ(sends.size(), 1u);
    const std::string ended = sends[0].instanceId;
    const std::string other = ended == "a" ? "b" : "a";
    harness.ended(arrived.id, 0, Outcome::misdirected);
    harness.serve(arrived.id, 1);
    harness.handle(HostList{{makeHost("a"), makeHost("b")}});
    EXPECT_EQ(sendMany(harness, 40).count(ended), 0u);
    harness.handle(HostList{{makeHost(other), makeHost("c")}});
    EXPECT_GT(sendMany(harness, 40).count("c"), 0u) << "the instance that replaced it";
}

// An attempt after one that reached another instance is a retry and is charged to the budget.
TEST(HostsTest, AttemptAfterMisdirectedOneIsChargedToRetryBudget) {
    Settings settings = testSettings();
    settings.retryBudgetRatio = 0;
    settings.retryBudgetSlack = 0;
    Harness harness(settings);
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    harness.handle(arrived);
    const std::vector<Action> actions = harness.ended(arrived.id, 0, Outcome::misdirected);
    EXPECT_TRUE(actionsOf<Send>(actions).empty());
    ASSERT_EQ(actionsOf<Reject>(actions).size(), 1u);
    EXPECT_EQ(actionsOf<Reject>(actions)[0].reason, RejectReason::retryBudget);
}

TEST(HostsTest, EvacuatedZoneGetsNoRequestsAndReturnsWarmingUp) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b", "svc", "north", "north-2")}, {makeService("svc", 3, 2)});
    harness.handle(EvacuatedZones{{"north-2"}});
    EXPECT_EQ(sendMany(harness, 40).count("b"), 0u);
    harness.handle(EvacuatedZones{});
    EXPECT_LE(sendMany(harness, 100).at("b"), 4);  // half a second at 2 x 1.5 + 5 per second for two gateways
    harness.advance(3000);
    EXPECT_GE(sendMany(harness, 100)["b"], 20);
}

TEST(HostsTest, OnlyHostsInAllowedRegionsGetRequests) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b", "svc", "south", "south-1"), makeHost("c", "svc", "", "lost")},
                  {makeService("svc")});
    for (int i = 0; i < 50; ++i) {
        RequestArrived arrived = harness.request();
        arrived.allowedRegions = {"south"};
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].instanceId, "b");
        harness.serve(arrived.id, 0);
    }
    RequestArrived nowhere = harness.request();
    nowhere.allowedRegions = std::vector<std::string>{};
    EXPECT_TRUE(actionsOf<Send>(harness.handle(nowhere)).empty());
    EXPECT_EQ(actionsOf<Reject>(harness.advance(100)).size(), 1u);
}

TEST(HostsTest, HostListedLaterIsWarmingUpForServiceWarmup) {
    Harness harness;
    harness.start({makeHost("a")}, {makeService("svc", 3, 2)}, 1);
    harness.handle(HostList{{makeHost("a"), makeHost("b")}});
    EXPECT_LE(sendMany(harness, 200)["b"], 4);
    harness.advance(3000);
    EXPECT_GE(sendMany(harness, 200)["b"], 50);
}

TEST(HostsTest, SendsAreLimitedFromWarmupReport) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc", 3, 2)});
    EXPECT_GE(sendMany(harness, 100)["b"], 20);
    harness.handle(WarmupReported{"b", 2000});
    EXPECT_LE(sendMany(harness, 100)["b"], 4);
}

TEST(HostsTest, WarmingUpHostGetsNoRequestsWhenFleetIsUnknown) {
    Harness harness;
    harness.start({makeHost("a")}, {makeService("svc", 3, 2)});
    harness.handle(Fleet{0, false, -1});
    harness.handle(HostList{{makeHost("a"), makeHost("b")}});
    EXPECT_EQ(sendMany(harness, 100).count("b"), 0u);
}

TEST(HostsTest, FullHostIsAvoidedByNextRequest) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string full = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    harness.ended(arrived.id, 0, Outcome::rejected);
    const RequestArrived next = harness.request(RequestType::nonIdempotent);
    EXPECT_NE(actionsOf<Send>(harness.handle(next))[0].instanceId, full);
}

TEST(HostsTest, PartitionedHostIsCheckedAndGetsNoRequestsUntilHealthy) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc", 3, 2)});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string partitioned = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    const std::vector<CheckHealth> checks =
        actionsOf<CheckHealth>(harness.ended(arrived.id, 0, Outcome::notConnected));
    ASSERT_EQ(checks.size(), 1u);
    EXPECT_EQ(checks[0].instanceId, partitioned);
    harness.serve(arrived.id, 1);
    EXPECT_EQ(sendMany(harness, 50).count(partitioned), 0u);
    harness.handle(HealthCheckEnded{partitioned, false, 0, false});
    const std::vector<CheckHealth> again = actionsOf<CheckHealth>(harness.advance(600));
    ASSERT_EQ(again.size(), 1u);
    harness.handle(HealthCheckEnded{partitioned, true, 0, true});
    const int sentAfterCheck = sendMany(harness, 100)[partitioned];
    EXPECT_LE(sentAfterCheck, 4);  // it may have restarted, so it is warming up
    harness.advance(3000);
    EXPECT_GT(sendMany(harness, 100)[partitioned], 20);
}

TEST(HostsTest, UnresponsiveHostIsCheckedAndGetsNoRequestsWhenCheckFails) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
    const std::string unresponsive = actionsOf<Send>(harness.handle(arrived))[0].instanceId;
    const std::vector<CheckHealth> checks = actionsOf<CheckHealth>(harness.advance(600));
    ASSERT_EQ(checks.size(), 1u);
    EXPECT_EQ(checks[0].instanceId, unresponsive);
    harness.handle(HealthCheckEnded{unresponsive, false, 0, false});
    EXPECT_EQ(sendMany(harness, 50).count(unresponsive), 0u);
}

TEST(HostsTest, FailingHostGetsFewerRequests) {
    Harness harness;
    harness.start({makeHost("a"), makeHost("b")}, {makeService("svc")});
    int toFailing = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        const std::vector<Send> sends = actionsOf<Send>(harness.handle(arrived));
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
    harness.start({makeHost("a"), makeHost("b", "svc", "south", "south-1")}, {makeService("svc")});
    std::map<std::string, int> sent;
    for (int i = 0; i < 300; ++i) {
        RequestArrived arrived = harness.request(RequestType::nonIdempotent);
        arrived.bodyBytes = 5000;
        ++sent[actionsOf<Send>(harness.handle(arrived))[0].instanceId];
        harness.advance(50);
        harness.serve(arrived.id, 0);
    }
    EXPECT_GT(sent["a"], 200);
    harness.handle(HostList{{makeHost("b", "svc", "south", "south-1")}});
    EXPECT_EQ(actionsOf<Send>(harness.handle(harness.request())).size(), 1u);
}

TEST(HostsTest, RemovedHostsFreeTheirSlots) {
    Harness harness;
    harness.start({}, {makeService("svc")});
    for (int i = 0; i < 300; ++i) {
        harness.handle(HostList{{makeHost("i-" + std::to_string(i))}});
        sendMany(harness, 2);
        harness.advance(1000);
    }
    EXPECT_EQ(harness.dispatcher.requestCount(), 0u);
    EXPECT_EQ(harness.dispatcher.attemptsInFlight(), 0u);
    EXPECT_LE(harness.dispatcher.hostSlotCount(), 60u);
}

}  // namespace
}  // namespace beechpoint::dispatch
