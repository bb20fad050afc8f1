// What is known of hosts: drained, evacuated, in other regions, cold, full, cut off, gone.
#include <map>

#include "harness.hpp"

namespace beechpoint::dispatch {
namespace {

std::map<std::string, int> sendMany(Harness& h, int count, Millis apart = 5,
                                    RequestType type = RequestType::nonIdempotent) {
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i) {
        const RequestArrived arrived = h.request(type);
        const std::vector<Send> sends = only<Send>(h.tell(arrived));
        for (const Send& send : sends) ++sent[send.instanceId];
        h.pass(apart);
        if (!sends.empty()) h.serve(arrived.id, 0);
    }
    return sent;
}

TEST(HostsTest, DrainingAndGoneHostsGetNothing) {
    Harness h;
    Host draining = hostNamed("a");
    h.start({draining, hostNamed("b"), hostNamed("c")}, {serviceNamed("svc")});
    EXPECT_EQ(sendMany(h, 60).size(), 3u);
    draining.state = HostState::draining;
    h.tell(HostList{{draining, hostNamed("b")}});
    const std::map<std::string, int> sent = sendMany(h, 60);
    EXPECT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent.count("b"), 1u);
}

TEST(HostsTest, EvacuatedZonesGetNothingAndComeBackCold) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b", "svc", "north", "north-2")}, {serviceNamed("svc", 3, 2)});
    h.tell(EvacuatedZones{{"north-2"}});
    EXPECT_EQ(sendMany(h, 40).count("b"), 0u);
    h.tell(EvacuatedZones{});
    EXPECT_LE(sendMany(h, 100).at("b"), 4);  // half a second, at 2 x 1.5 + 5 a second for two gateways
    h.pass(3000);
    EXPECT_GE(sendMany(h, 100)["b"], 20);
}

TEST(HostsTest, OnlyAllowedRegionsAreUsed) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b", "svc", "south", "south-1"), hostNamed("c", "svc", "", "lost")},
            {serviceNamed("svc")});
    for (int i = 0; i < 50; ++i) {
        RequestArrived arrived = h.request();
        arrived.allowedRegions = {"south"};
        const std::vector<Send> sends = only<Send>(h.tell(arrived));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].instanceId, "b");
        h.serve(arrived.id, 0);
    }
    RequestArrived nowhere = h.request();
    nowhere.allowedRegions = std::vector<std::string>{};
    EXPECT_TRUE(only<Send>(h.tell(nowhere)).empty());
    EXPECT_EQ(only<Reject>(h.pass(100)).size(), 1u);
}

TEST(HostsTest, HostsThatComeLaterAreColdForTheWarmUp) {
    Harness h;
    h.start({hostNamed("a")}, {serviceNamed("svc", 3, 2)}, 1);
    h.tell(HostList{{hostNamed("a"), hostNamed("b")}});
    EXPECT_LE(sendMany(h, 200)["b"], 4);
    h.pass(3000);
    EXPECT_GE(sendMany(h, 200)["b"], 50);
}

TEST(HostsTest, AHostThatTurnsColdIsHeldBackFromThen) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc", 3, 2)});
    EXPECT_GE(sendMany(h, 100)["b"], 20);
    h.tell(WarmupReported{"b", 2000});
    EXPECT_LE(sendMany(h, 100)["b"], 4);
}

TEST(HostsTest, WithoutAFleetColdHostsGetNothing) {
    Harness h;
    h.start({hostNamed("a")}, {serviceNamed("svc", 3, 2)});
    h.tell(Fleet{0, false, -1});
    h.tell(HostList{{hostNamed("a"), hostNamed("b")}});
    EXPECT_EQ(sendMany(h, 100).count("b"), 0u);
}

TEST(HostsTest, AFullHostIsLeftAloneForAWhile) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    const std::string full = only<Send>(h.tell(arrived))[0].instanceId;
    h.ended(arrived.id, 0, Outcome::rejected);
    const RequestArrived next = h.request(RequestType::nonIdempotent);
    EXPECT_NE(only<Send>(h.tell(next))[0].instanceId, full);
}

TEST(HostsTest, ACutOffHostIsProbedAndGetsNothingUntilItIsBack) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc", 3, 2)});
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    const std::string cut = only<Send>(h.tell(arrived))[0].instanceId;
    const std::vector<CheckHealth> probes = only<CheckHealth>(h.ended(arrived.id, 0, Outcome::notConnected));
    ASSERT_EQ(probes.size(), 1u);
    EXPECT_EQ(probes[0].instanceId, cut);
    h.serve(arrived.id, 1);
    EXPECT_EQ(sendMany(h, 50).count(cut), 0u);
    h.tell(HealthCheckEnded{cut, false, 0, false});
    const std::vector<CheckHealth> again = only<CheckHealth>(h.pass(600));
    ASSERT_EQ(again.size(), 1u);
    h.tell(HealthCheckEnded{cut, true, 0, true});
    const int soon = sendMany(h, 100)[cut];
    EXPECT_LE(soon, 4);  // it may have started anew: cold
    h.pass(3000);
    EXPECT_GT(sendMany(h, 100)[cut], 20);
}

TEST(HostsTest, ASilentHostIsProbed) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    const RequestArrived arrived = h.request(RequestType::nonIdempotent);
    const std::string silent = only<Send>(h.tell(arrived))[0].instanceId;
    const std::vector<CheckHealth> probes = only<CheckHealth>(h.pass(600));
    ASSERT_EQ(probes.size(), 1u);
    EXPECT_EQ(probes[0].instanceId, silent);
    h.tell(HealthCheckEnded{silent, false, 0, false});
    EXPECT_EQ(sendMany(h, 50).count(silent), 0u);
}

TEST(HostsTest, FailingHostsGetLess) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b")}, {serviceNamed("svc")});
    int toFailing = 0;
    for (int i = 0; i < 200; ++i) {
        const RequestArrived arrived = h.request(RequestType::nonIdempotent);
        const std::vector<Send> sends = only<Send>(h.tell(arrived));
        ASSERT_EQ(sends.size(), 1u);
        h.pass(20);
        if (sends[0].instanceId == "a") {
            ++toFailing;
            h.head(arrived.id, 0, 500);
            h.ended(arrived.id, 0, Outcome::hostError);
        } else {
            h.serve(arrived.id, 0);
        }
    }
    EXPECT_LT(toFailing, 20);
}

TEST(HostsTest, OwnRegionIsPreferredMildly) {
    Harness h;
    h.start({hostNamed("a"), hostNamed("b", "svc", "south", "south-1")}, {serviceNamed("svc")});
    std::map<std::string, int> sent;
    for (int i = 0; i < 300; ++i) {
        RequestArrived arrived = h.request(RequestType::nonIdempotent);
        arrived.bodyBytes = 5000;
        ++sent[only<Send>(h.tell(arrived))[0].instanceId];
        h.pass(50);
        h.serve(arrived.id, 0);
    }
    EXPECT_GT(sent["a"], 200);
    h.tell(HostList{{hostNamed("b", "svc", "south", "south-1")}});
    EXPECT_EQ(only<Send>(h.tell(h.request())).size(), 1u);
}

TEST(HostsTest, HostsThatComeAndGoAreForgotten) {
    Harness h;
    h.start({}, {serviceNamed("svc")});
    for (int i = 0; i < 300; ++i) {
        h.tell(HostList{{hostNamed("i-" + std::to_string(i))}});
        sendMany(h, 2);
        h.pass(1000);
    }
    EXPECT_EQ(h.dispatcher.requestCount(), 0u);
    EXPECT_EQ(h.dispatcher.attemptsInFlight(), 0u);
    EXPECT_LE(h.dispatcher.hostSlotCount(), 60u);
}

}  // namespace
}  // namespace beechpoint::dispatch
