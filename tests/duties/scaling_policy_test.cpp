#include "duties/scaling_policy.hpp"

#include <gtest/gtest.h>

namespace beechpoint::duties {
namespace {

constexpr double kHostCapacity = 64;
constexpr Millis kStep = 500;
const ScalingBounds kBounds{11, 34, 8000};

// Two zones in one region and one in another, with 17 hosts each. An order updates `ordered` at once and the hosts after the boot time.
class Fleet {
public:
    explicit Fleet(ScalingPolicy::Floor floor = ScalingPolicy::Floor::startingCount) : policy(floor) {
        for (const auto& [zone, region] : {std::pair{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}) {
            ZoneObservation observation;
            observation.zone = zone;
            observation.region = region;
            zones.push_back(observation);
            serve(zone, 17);
        }
        setUtilization(0.2);
    }

    ZoneObservation& at(const std::string& zone) {
        return *std::ranges::find(zones, zone, &ZoneObservation::zone);
    }
    void serve(const std::string& zone, int count) {
        at(zone).serving = count;
        at(zone).capacity = count * kHostCapacity;
    }
    // Sets the load as a share of the capacity of 17 hosts per zone.
    void setUtilization(double utilization) {
        for (ZoneObservation& observation : zones) observation.running = utilization * 17 * kHostCapacity;
    }
    // Orders each desired count that differs; returns the last desired counts.
    std::map<std::string, int> run(Millis duration) {
        std::map<std::string, int> desired;
        for (const Millis end = now + duration; now < end; now += kStep) {
            desired = policy.decide(now, kBounds, zones);
            for (const auto& [zone, count] : desired) order(zone, count);
            completeBoots();
        }
        return desired;
    }

    ScalingPolicy policy;
    std::vector<ZoneObservation> zones;
    Millis now = 1000;
    int orders = 0;
    std::vector<std::pair<Millis, int>> ordersOfA1;

private:
    void order(const std::string& zone, int count) {
        ZoneObservation& observation = at(zone);
        if (count == observation.ordered.value_or(observation.serving)) return;
        EXPECT_GE(count, kBounds.minCount);
        EXPECT_LE(count, kBounds.maxCount);
        ++orders;
        if (zone == "a1") ordersOfA1.emplace_back(now, count);
        observation.ordered = count;
        policy.onOrdered(now, zone);
        boots_.emplace(now + kBounds.boot, std::pair{zone, count});
    }
    void completeBoots() {
        while (!boots_.empty() && boots_.begin()->first <= now) {
            const auto [zone, count] = boots_.begin()->second;
            serve(zone, count);
            boots_.erase(boots_.begin());
        }
    }

    std::multimap<Millis, std::pair<std::string, int>> boots_;
};

TEST(ScalingPolicy, OrdersNothingUnderSteadyLoad) {
    Fleet fleet;
    fleet.setUtilization(0.5);
    fleet.run(120'000);
    EXPECT_EQ(fleet.orders, 0);
}

TEST(ScalingPolicy, OrdersNothingWhileTheLoadIsUnknown) {
    Fleet fleet(ScalingPolicy::Floor::minCount);
    for (ZoneObservation& observation : fleet.zones) observation.running.reset();
    fleet.run(120'000);
    EXPECT_EQ(fleet.orders, 0);
}

TEST(ScalingPolicy, GrowsAtOnceWhenTheLoadIsHigh) {
    Fleet fleet;
    fleet.run(5000);
    fleet.setUtilization(0.8);
    const auto desired = fleet.run(kStep);
    EXPECT_GT(desired.at("a1"), 17);
    EXPECT_GT(desired.at("a2"), 17);
}

TEST(ScalingPolicy, GrowsBeforeTheLoadIsHighWhereItRises) {
    Fleet fleet;
    double utilization = 0.3;
    while (fleet.orders == 0 && utilization < 0.8) {
        fleet.setUtilization(utilization);
        fleet.run(kStep);
        utilization += 0.015;
    }
    EXPECT_LT(utilization, ScalingPolicy::kHighUtilization);
    EXPECT_GT(utilization, 0.35);
}

TEST(ScalingPolicy, NeverOrdersAboveTheMaximum) {
    Fleet fleet;
    fleet.setUtilization(5);
    const auto desired = fleet.run(60'000);
    for (const auto& [zone, count] : desired) EXPECT_EQ(count, kBounds.maxCount) << zone;
}

TEST(ScalingPolicy, DoesNotRepeatGrowthWhileOrderedHostsBoot) {
    Fleet fleet;
    fleet.setUtilization(0.7);
    fleet.run(kStep);
    const int orders = fleet.orders;
    EXPECT_GT(orders, 0);
    fleet.run(kBounds.boot - 1000);
    EXPECT_EQ(fleet.orders, orders);
}

TEST(ScalingPolicy, LeavesTheMinimumTimeBetweenOrdersOfAZone) {
    Fleet fleet;
    for (int step = 0; step < 20; ++step) {
        fleet.setUtilization(0.7 + 0.06 * step);
        fleet.run(1000);
    }
    ASSERT_GT(fleet.ordersOfA1.size(), 1U);
    for (std::size_t index = 1; index < fleet.ordersOfA1.size(); ++index)
        EXPECT_GE(fleet.ordersOfA1[index].first - fleet.ordersOfA1[index - 1].first,
                  ScalingPolicy::kMinOrderInterval);
}

TEST(ScalingPolicy, DoesNotFlapUnderAnOscillatingLoad) {
    Fleet fleet(ScalingPolicy::Floor::minCount);
    for (int period = 0; period < 30; ++period) {
        fleet.setUtilization(period % 2 ? 0.3 : 0.8);
        fleet.run(5000);
    }
    int last = 17;
    for (const auto& [at, count] : fleet.ordersOfA1) {
        EXPECT_GE(count, last) << at;
        last = count;
    }
}

TEST(ScalingPolicy, KeepsTheStartingCountHoweverLowTheLoad) {
    Fleet fleet;
    fleet.setUtilization(0.01);
    fleet.run(300'000);
    EXPECT_EQ(fleet.orders, 0);
}

TEST(ScalingPolicy, GoesBackToTheStartingCountSlowlyAfterAPeak) {
    Fleet fleet;
    fleet.setUtilization(0.9);
    fleet.run(20'000);
    const int peak = *fleet.at("a1").ordered;
    ASSERT_GT(peak, 18);
    fleet.setUtilization(0.1);
    fleet.run(ScalingPolicy::kStabilizationTime - 2 * kStep);
    EXPECT_EQ(*fleet.at("a1").ordered, peak);
    fleet.run(1000'000);
    EXPECT_EQ(*fleet.at("a1").ordered, 17);
    for (std::size_t index = 1; index < fleet.ordersOfA1.size(); ++index)
        EXPECT_GE(fleet.ordersOfA1[index].second, fleet.ordersOfA1[index - 1].second - 1);
}

TEST(ScalingPolicy, StopsAtTheMinimumWhereTheFloorIsTheMinimum) {
    Fleet fleet(ScalingPolicy::Floor::minCount);
    fleet.setUtilization(0.01);
    fleet.run(1000'000);
    for (const ZoneObservation& observation : fleet.zones)
        EXPECT_EQ(observation.ordered, kBounds.minCount) << observation.zone;
}

TEST(ScalingPolicy, TakesNoHostAwayWhileAZoneIsEvacuated) {
    Fleet fleet(ScalingPolicy::Floor::minCount);
    fleet.setUtilization(0.01);
    fleet.at("a2").evacuated = true;
    fleet.run(120'000);
    EXPECT_FALSE(fleet.at("a1").ordered);
    EXPECT_FALSE(fleet.at("a2").ordered);
}

TEST(ScalingPolicy, TakesNoHostAwayWhileHostsAreColdOrLeave) {
    Fleet fleet(ScalingPolicy::Floor::minCount);
    fleet.setUtilization(0.01);
    fleet.at("a1").cold = 1;
    fleet.at("b1").draining = 1;
    fleet.run(120'000);
    EXPECT_EQ(fleet.orders, 0);
}

TEST(ScalingPolicy, ReplacesAnEvacuatedZoneInItsRegionFirst) {
    Fleet fleet;
    fleet.setUtilization(0.4);
    fleet.run(5000);
    fleet.at("a2").evacuated = true;
    const auto desired = fleet.run(kStep);
    EXPECT_GT(desired.at("a1"), 17);
    EXPECT_EQ(desired.at("a2"), 17);
    EXPECT_EQ(desired.at("b1"), 17);
}

TEST(ScalingPolicy, ReplacesInAnotherRegionWhatItsOwnHasNoRoomFor) {
    Fleet fleet;
    fleet.setUtilization(0.6);
    fleet.run(5000);
    fleet.at("a2").evacuated = true;
    for (const char* zone : {"a1", "a2"}) fleet.at(zone).running = 1.2 * 17 * kHostCapacity;
    const auto desired = fleet.run(kStep);
    EXPECT_EQ(desired.at("a1"), kBounds.maxCount);
    EXPECT_GT(desired.at("b1"), 17);
}

TEST(ScalingPolicy, ReplacesVanishedHostsInTheCompleteZones) {
    Fleet fleet;
    fleet.setUtilization(0.45);
    fleet.run(5000);
    fleet.serve("a2", 4);
    const auto desired = fleet.run(kStep);
    EXPECT_GT(desired.at("a1"), 17);
    EXPECT_EQ(desired.at("a2"), 4);
}

TEST(ScalingPolicy, NeverOrdersLessThanTheStartingCountForAZoneThatLostHosts) {
    Fleet fleet;
    fleet.setUtilization(0.45);
    fleet.run(5000);
    fleet.serve("a1", 9);
    fleet.serve("a2", 4);
    fleet.setUtilization(0.9);
    const auto desired = fleet.run(kStep);
    EXPECT_GE(desired.at("a1"), 17);
    EXPECT_GE(desired.at("a2"), 17);
}

TEST(ScalingPolicy, OrdersNothingBelowTheMinimumWhenTheListShowsFewer) {
    Fleet fleet;
    fleet.setUtilization(0.01);
    fleet.serve("b1", 3);
    fleet.run(60'000);
    EXPECT_EQ(fleet.orders, 0);
}

TEST(ScalingPolicy, BringsAnOrderBackIntoChangedBounds) {
    Fleet fleet;
    fleet.at("a1").ordered = 30;
    const auto desired = fleet.policy.decide(1000, {11, 20, 8000}, fleet.zones);
    EXPECT_EQ(desired.at("a1"), 20);
}

TEST(ScalingPolicy, KeepsTheCountsOrderedByAnEarlierHolder) {
    Fleet fleet;
    fleet.setUtilization(0.1);
    fleet.at("a1").ordered = 25;
    fleet.serve("a1", 25);
    fleet.run(300'000);
    EXPECT_EQ(fleet.orders, 0);
}

}  // namespace
}  // namespace beechpoint::duties
