#include "leases/lease_table.hpp"

#include <gtest/gtest.h>

#include <string>

namespace beechpoint::leases {
namespace {

constexpr Millis kStart = 1000;

LeaseTable::Settings settings() {
    LeaseTable::Settings settings;
    settings.leaseMs = 3000;
    settings.peakWindowMs = 10000;
    settings.maxAdvanceGapMs = 1000;
    settings.maxGateways = 4;
    return settings;
}

Gateway gateway(const std::string& name, std::uint64_t session = 1) {
    Gateway gateway;
    gateway.name = name;
    gateway.session = session;
    gateway.ready = true;
    return gateway;
}

// Advances in short steps, as the driver does, so that no suspension is detected.
void advanceInSteps(LeaseTable& table, Millis from, Millis to) {
    for (Millis now = from; now <= to; now += 250) table.advanceTo(now);
}

TEST(LeaseTable, ExpiresLeaseThatIsNotRenewed) {
    LeaseTable table(settings(), kStart);
    EXPECT_TRUE(table.renew(kStart, gateway("g1")));
    EXPECT_TRUE(table.renew(kStart, gateway("g2")));
    advanceInSteps(table, kStart, kStart + 2000);
    EXPECT_TRUE(table.renew(kStart + 2000, gateway("g2")));
    advanceInSteps(table, kStart + 2000, kStart + 2999);
    EXPECT_TRUE(table.isLive("g1", kStart + 2999));
    EXPECT_FALSE(table.isLive("g1", kStart + 3000));
    advanceInSteps(table, kStart + 3000, kStart + 4000);
    EXPECT_EQ(table.size(), 1u);
    ASSERT_EQ(table.liveGateways(kStart + 4000).size(), 1u);
    EXPECT_EQ(table.liveGateways(kStart + 4000).front().name, "g2");
}

TEST(LeaseTable, HasNoCountUntilEveryLiveGatewayMustHavePolled) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    advanceInSteps(table, kStart, kStart + 2900);
    EXPECT_FALSE(table.liveCount(kStart + 2900).has_value());
    EXPECT_FALSE(table.peakLiveCount(kStart + 2900).has_value());
    table.renew(kStart + 2900, gateway("g1"));
    EXPECT_EQ(table.liveCount(kStart + 3000), 1u);
}

TEST(LeaseTable, HasNoCountAfterLateWake) {
    LeaseTable table(settings(), kStart);
    advanceInSteps(table, kStart, kStart + 4000);
    table.renew(kStart + 4000, gateway("g1"));
    ASSERT_EQ(table.liveCount(kStart + 4000), 1u);
    // The process is suspended for eight seconds: its leases have expired, but the gateways are alive.
    const Millis woken = kStart + 12000;
    table.advanceTo(woken);
    EXPECT_FALSE(table.liveCount(woken).has_value());
    advanceInSteps(table, woken, woken + 2000);
    table.renew(woken + 2000, gateway("g1"));
    advanceInSteps(table, woken + 2000, woken + 3000);
    EXPECT_EQ(table.liveCount(woken + 3000), 1u);
}

TEST(LeaseTable, ReturnsLargestCountOfWindow) {
    LeaseTable table(settings(), kStart);
    for (const char* name : {"g1", "g2", "g3"}) table.renew(kStart, gateway(name));
    for (Millis now = kStart; now <= kStart + 12000; now += 250) table.renew(now, gateway("g1"));
    // g2 and g3 were live until 3,000 after the start, so they count until 13,000 after it.
    EXPECT_EQ(table.liveCount(kStart + 12000), 1u);
    EXPECT_EQ(table.peakLiveCount(kStart + 12000), 3u);
    for (Millis now = kStart + 12250; now <= kStart + 13250; now += 250) table.renew(now, gateway("g1"));
    EXPECT_EQ(table.peakLiveCount(kStart + 13250), 1u);
}

TEST(LeaseTable, MergesReportedLeasesByAge) {
    LeaseTable table(settings(), kStart);
    table.merge(kStart, {{gateway("g1"), 1000}, {gateway("g2"), 3000}});
    EXPECT_TRUE(table.isLive("g1", kStart + 1999));
    EXPECT_FALSE(table.isLive("g1", kStart + 2000));
    EXPECT_FALSE(table.isLive("g2", kStart));
}

TEST(LeaseTable, IgnoresOlderGrantOfEarlierSession) {
    LeaseTable table(settings(), kStart);
    Gateway restarted = gateway("g1", 2);
    restarted.ready = false;
    table.renew(kStart + 500, restarted);
    table.merge(kStart + 600, {{gateway("g1", 1), 400}});
    ASSERT_EQ(table.liveGateways(kStart + 600).size(), 1u);
    EXPECT_EQ(table.liveGateways(kStart + 600).front().session, 2u);
    table.merge(kStart + 700, {{gateway("g1", 3), 50}});
    EXPECT_EQ(table.liveGateways(kStart + 700).front().session, 3u);
    EXPECT_EQ(table.size(), 1u);
}

TEST(LeaseTable, ReportsOwnLiveGrantsWithTheirAges) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    table.merge(kStart, {{gateway("g2"), 10}});
    for (const Millis age : {100.0, 200.0}) {
        const auto granted = table.grantedLeases(kStart + age);
        ASSERT_EQ(granted.size(), 1u);
        EXPECT_EQ(granted.front().gateway.name, "g1");
        EXPECT_EQ(granted.front().age, age);
    }
    table.renew(kStart + 300, gateway("g1"));
    EXPECT_EQ(table.grantedLeases(kStart + 300).front().age, 0);
    EXPECT_TRUE(table.grantedLeases(kStart + 3300).empty());
}

TEST(LeaseTable, DoesNotReportGrantRenewedAtAnotherMember) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    table.merge(kStart + 500, {{gateway("g1"), 0}});
    EXPECT_TRUE(table.grantedLeases(kStart + 600).empty());
    table.renew(kStart + 700, gateway("g1"));
    EXPECT_EQ(table.grantedLeases(kStart + 700).size(), 1u);
}

TEST(LeaseTable, RejectsGatewaysBeyondLimitAndRenewsTheOthers) {
    LeaseTable table(settings(), kStart);
    for (const char* name : {"g1", "g2", "g3", "g4"}) EXPECT_TRUE(table.renew(kStart, gateway(name)));
    EXPECT_FALSE(table.renew(kStart, gateway("g5")));
    table.merge(kStart, {{gateway("g6"), 0}});
    EXPECT_EQ(table.rejectedGrants(), 2u);
    EXPECT_EQ(table.size(), 4u);
    EXPECT_TRUE(table.renew(kStart + 100, gateway("g4")));
    advanceInSteps(table, kStart + 100, kStart + 3050);
    EXPECT_TRUE(table.renew(kStart + 3050, gateway("g5")));
}

// The deployment is planned to grow to 350 gateways, and a rejected gateway gets no configuration. The limit is at least twice
// that, for gateways that restart under other names before their old leases expire.
TEST(LeaseTable, DefaultLimitIsTwiceThePlannedGateways) {
    constexpr int kPlanned = 350;
    LeaseTable table(LeaseTable::Settings{}, kStart);
    for (int number = 0; number < 2 * kPlanned; number++)
        ASSERT_TRUE(table.renew(kStart, gateway("g" + std::to_string(number)))) << number;
    EXPECT_EQ(table.liveGateways(kStart).size(), 2u * kPlanned);
    EXPECT_EQ(table.rejectedGrants(), 0u);
}

TEST(LeaseTable, FindsLastReportOfGatewayWhileLeaseRuns) {
    LeaseTable table(settings(), kStart);
    EXPECT_EQ(table.find("g1", kStart), nullptr);
    table.renew(kStart, gateway("g1", 1));
    table.merge(kStart + 100, {{gateway("g1", 2), 0}});
    ASSERT_NE(table.find("g1", kStart + 3099), nullptr);
    EXPECT_EQ(table.find("g1", kStart + 3099)->session, 2u);
    EXPECT_EQ(table.find("g1", kStart + 3100), nullptr);
}

TEST(LeaseTable, SumsLoadOfOtherGateways) {
    LeaseTable table(settings(), kStart);
    Gateway one = gateway("g1"), two = gateway("g2"), three = gateway("g3");
    one.load = {{"i-1", 5}, {"i-2", 1}};
    two.load = {{"i-1", 7}};
    three.load = {{"i-3", 9}};
    table.renew(kStart, one);
    table.merge(kStart, {{two, 0}});
    table.renew(kStart, three);
    const std::vector<InstanceLoad> expected{{"i-1", 12}, {"i-2", 1}};
    EXPECT_EQ(table.loadOfOthers(kStart, "g3"), expected);
}

TEST(LeaseTable, AppliesRenewalsOfReportedLeases) {
    LeaseTable here(settings(), kStart), there(settings(), kStart);
    here.renew(kStart, gateway("g1"));
    there.merge(kStart, here.grantedLeases(kStart));
    advanceInSteps(here, kStart, kStart + 2000);
    advanceInSteps(there, kStart, kStart + 2000);
    here.renew(kStart + 2000, gateway("g1"));
    const auto granted = here.leasesGrantedSince(kStart + 1000, kStart + 2100);
    ASSERT_EQ(granted.size(), 1u);
    EXPECT_TRUE(here.leasesGrantedSince(kStart + 2001, kStart + 2100).empty());
    EXPECT_TRUE(there.mergeRenewals(kStart + 2100, {{granted.front().id, 100}}).empty());
    EXPECT_TRUE(there.isLive("g1", kStart + 4999));
    EXPECT_FALSE(there.isLive("g1", kStart + 5000));
}

TEST(LeaseTable, ReturnsIdsOfUnknownRenewals) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    Gateway later = gateway("g1", 2);
    EXPECT_NE(registrationId(gateway("g1")), registrationId(later));
    EXPECT_EQ(table.mergeRenewals(kStart, {{registrationId(later), 0}}),
              std::vector<std::uint64_t>{registrationId(later)});
    table.renew(kStart + 1, later);
    EXPECT_EQ(table.mergeRenewals(kStart + 2, {{registrationId(gateway("g1")), 0}}),
              std::vector<std::uint64_t>{registrationId(gateway("g1"))});
    EXPECT_EQ(table.find("g1", kStart + 2)->session, 2u);
}

TEST(LeaseTable, IgnoresRenewalOlderThanKnownGrant) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    advanceInSteps(table, kStart, kStart + 1000);
    EXPECT_TRUE(table.mergeRenewals(kStart + 1000, {{registrationId(gateway("g1")), 2000}}).empty());
    EXPECT_TRUE(table.isLive("g1", kStart + 2999));
}

TEST(LeaseTable, RemovesIdsOfExpiredLeases) {
    LeaseTable table(settings(), kStart);
    table.renew(kStart, gateway("g1"));
    advanceInSteps(table, kStart, kStart + 3500);
    EXPECT_EQ(table.mergeRenewals(kStart + 3500, {{registrationId(gateway("g1")), 0}}).size(), 1u);
    EXPECT_EQ(table.size(), 0u);
}

}  // namespace
}  // namespace beechpoint::leases
