#include "duties/scaling_policy.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::duties {

struct ScalingPolicy::Zone {
    const ZoneObservation* observation = nullptr;
    int base = 0;
    int startingCount = 0;
    int floor = 0;
    int desired = 0;
    int expected = 0;        // serving hosts once those ordered have booted
    bool usable = false;     // may receive requests and hosts
    bool complete = false;   // has all hosts of its base count
    bool canChange = false;  // its last order is older than kMinOrderInterval
};

struct ScalingPolicy::Region {
    std::vector<Zone*> zones;
    RegionState* state = nullptr;
    double capacityOfHost = 0;
    double forecast = 0;
    int expected = 0;  // hosts expected in the usable zones

    [[nodiscard]] int hostsFor(double utilization) const {
        return static_cast<int>(std::ceil(forecast / (capacityOfHost * utilization)));
    }
};

namespace {

// Slope of the least-squares line, in requests per millisecond.
template <class Samples>
double slopeOf(const Samples& samples) {
    const double count = static_cast<double>(samples.size());
    double sumTime = 0;
    double sumValue = 0;
    double sumTimeValue = 0;
    double sumSquares = 0;
    for (const auto& sample : samples) {
        const double time = sample.at - samples.front().at;
        sumTime += time;
        sumValue += sample.running;
        sumTimeValue += time * sample.running;
        sumSquares += time * time;
    }
    const double spread = count * sumSquares - sumTime * sumTime;
    return spread > 0 ? (count * sumTimeValue - sumTime * sumValue) / spread : 0;
}

// Adds hosts one at a time to the zone with the fewest. A zone that lost hosts is raised at least to its starting count, since an order below it
// would remove hosts that come back. Returns the number of hosts that could not be placed.
template <class Zones>
int addHosts(int count, int maxCount, const Zones& zones) {
    while (count > 0) {
        const auto least = std::min_element(
            zones.begin(), zones.end(), [](auto* one, auto* other) { return one->desired < other->desired; });
        if (least == zones.end() || (*least)->desired >= maxCount) return count;
        const int step = std::max(1, (*least)->startingCount - (*least)->desired);
        const int before = (*least)->desired;
        (*least)->desired = std::min(before + step, maxCount);
        count -= (*least)->desired - before;
    }
    return 0;
}

// The zones that may receive hosts: either the complete or the incomplete ones.
template <class Zones>
Zones eligibleZones(const Zones& zones, bool complete) {
    Zones chosen;
    for (auto* zone : zones)
        if (zone->usable && zone->canChange && zone->complete == complete) chosen.push_back(zone);
    return chosen;
}

template <class Zones>
int addWithinRegion(int count, int maxCount, const Zones& zones) {
    count = addHosts(count, maxCount, eligibleZones(zones, true));
    return addHosts(count, maxCount, eligibleZones(zones, false));
}

}  // namespace

std::map<std::string, int> ScalingPolicy::decide(Millis now, const ScalingBounds& bounds,
                                                 const std::vector<ZoneObservation>& zones) {
    removeZonesExcept(zones);
    if (bounds.minCount > bounds.maxCount) return {};
    std::vector<Zone> assessed;
    assessed.reserve(zones.size());
    for (const ZoneObservation& observation : zones)
        if (assessed.size() < kMaxZones) assessed.push_back(assess(now, bounds, observation));
    std::map<std::string, Region> regions;
    for (Zone& zone : assessed) regions[zone.observation->region].zones.push_back(&zone);

    int unplaced = 0;
    for (auto& entry : regions) {
        Region& region = entry.second;
        region.state = &regions_[entry.first];
        const int desired = hostsToAdd(now, bounds, region);
        if (desired == 0) {
            decreaseIfUnderused(now, region);
            continue;
        }
        region.state->lowSince.reset();
        unplaced += addWithinRegion(desired, bounds.maxCount, region.zones);
    }
    for (auto& entry : regions) {
        if (unplaced == 0) break;
        unplaced = addWithinRegion(unplaced, bounds.maxCount, entry.second.zones);
    }
    std::map<std::string, int> counts;
    for (const Zone& zone : assessed) counts[zone.observation->zone] = zone.desired;
    return counts;
}

void ScalingPolicy::onOrdered(Millis now, const std::string& zone) {
    const auto found = zones_.find(zone);
    if (found != zones_.end()) found->second.orderedAt = now;
}

ScalingPolicy::Zone ScalingPolicy::assess(Millis now, const ScalingBounds& bounds,
                                          const ZoneObservation& observation) {
    const bool isNew = !zones_.contains(observation.zone);
    ZoneState& state = zones_[observation.zone];
    if (!observation.ordered) state.startingCount = std::max(state.startingCount, observation.serving);
    if (observation.ordered && isNew) state.startingCount = *observation.ordered;
    const Millis sinceOrder = state.orderedAt ? now - *state.orderedAt : 0;
    const bool isBooting = state.orderedAt && sinceOrder < bounds.boot + kBootGracePeriod;
    Zone zone;
    zone.observation = &observation;
    zone.startingCount = state.startingCount;
    zone.base = observation.ordered.value_or(observation.serving);
    zone.desired = observation.ordered ? std::clamp(zone.base, bounds.minCount, bounds.maxCount) : zone.base;
    const int lowest = floor_ == Floor::startingCount ? state.startingCount : bounds.minCount;
    zone.floor = std::clamp(lowest, bounds.minCount, bounds.maxCount);
    zone.usable = !observation.evacuated && observation.serving > 0;
    zone.expected = isBooting ? std::max(observation.serving, zone.base) : observation.serving;
    zone.complete = zone.expected >= (observation.ordered ? zone.base : state.startingCount);
    zone.canChange = !state.orderedAt || sinceOrder >= kMinOrderInterval;
    return zone;
}

double ScalingPolicy::forecast(Millis now, const ScalingBounds& bounds, RegionState& state, double running) {
    std::deque<Sample>& samples = state.samples;
    if (samples.empty() || now - samples.back().at >= kMinSampleSpacing) samples.push_back({now, running});
    while (now - samples.front().at > kTrendWindow) samples.pop_front();
    const double expected = running + std::max(slopeOf(samples), 0.0) * bounds.boot;
    return std::min(expected, kMaxForecastRatio * running);
}

// The number of hosts to add to the region.
int ScalingPolicy::hostsToAdd(Millis now, const ScalingBounds& bounds, Region& region) {
    double running = 0;
    double capacity = 0;
    int serving = 0;
    for (const Zone* zone : region.zones) {
        if (!zone->observation->running) return 0;
        running += *zone->observation->running;
        capacity += zone->observation->capacity;
        serving += zone->observation->serving;
        if (zone->usable) region.expected += zone->expected;
    }
    if (serving == 0 || capacity <= 0) return 0;
    region.capacityOfHost = capacity / serving;
    region.forecast = forecast(now, bounds, *region.state, running);
    if (region.hostsFor(kHighUtilization) <= region.expected) return 0;
    return region.hostsFor(kTargetUtilization) - region.expected;
}

void ScalingPolicy::decreaseIfUnderused(Millis now, Region& region) {
    RegionState& state = *region.state;
    const bool isComplete = std::all_of(region.zones.begin(), region.zones.end(), [](const Zone* zone) {
        return zone->usable && zone->complete && zone->observation->draining == 0 &&
               zone->observation->cold == 0;
    });
    const bool isLow = isComplete && region.capacityOfHost > 0 &&
                       region.hostsFor(kTargetUtilization) + kSpareHosts < region.expected;
    if (!isLow) {
        state.lowSince.reset();
        return;
    }
    if (!state.lowSince) state.lowSince = now;
    const bool isTooEarly = state.decreasedAt && now - *state.decreasedAt < kMinDecreaseInterval;
    if (now - *state.lowSince < kStabilizationTime || isTooEarly) return;
    const auto excess = [](const Zone* zone) { return zone->desired - zone->floor; };
    const auto most =
        std::max_element(region.zones.begin(), region.zones.end(),
                         [&](const Zone* one, const Zone* other) { return excess(one) < excess(other); });
    if (excess(*most) <= 0 || !(*most)->canChange) return;
    --(*most)->desired;
    state.decreasedAt = now;
}

void ScalingPolicy::removeZonesExcept(const std::vector<ZoneObservation>& zones) {
    std::erase_if(zones_, [&](const auto& entry) {
        return std::ranges::find(zones, entry.first, &ZoneObservation::zone) == zones.end();
    });
    std::erase_if(regions_, [&](const auto& entry) {
        return std::ranges::find(zones, entry.first, &ZoneObservation::region) == zones.end();
    });
}

}  // namespace beechpoint::duties
