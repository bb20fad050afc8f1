#include "duties/scaling_policy.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::duties {

struct ScalingPolicy::Zone {
    const ZoneObservation* seen = nullptr;
    int base = 0;
    int startingCount = 0;
    int floor = 0;
    int wanted = 0;
    int expected = 0;        // hosts that serve once those ordered have come
    bool usable = false;     // may get requests and hosts
    bool complete = false;   // has all hosts of its base count
    bool mayChange = false;  // its last order is long enough ago
};

struct ScalingPolicy::Region {
    std::vector<Zone*> zones;
    RegionState* state = nullptr;
    double capacityOfHost = 0;
    double forecast = 0;
    int expected = 0;  // of the usable zones

    [[nodiscard]] int hostsFor(double use) const {
        return static_cast<int>(std::ceil(forecast / (capacityOfHost * use)));
    }
};

namespace {

// Least squares, per millisecond.
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

// To the zone with the fewest, one host at a time; a zone that lost hosts is brought back to its starting count at least, since hosts of it that
// come back would be ordered away otherwise. Returns how many found no room.
template <class Zones>
int addHosts(int count, int maxCount, const Zones& zones) {
    while (count > 0) {
        const auto least = std::min_element(
            zones.begin(), zones.end(), [](auto* one, auto* other) { return one->wanted < other->wanted; });
        if (least == zones.end() || (*least)->wanted >= maxCount) return count;
        const int step = std::max(1, (*least)->startingCount - (*least)->wanted);
        const int before = (*least)->wanted;
        (*least)->wanted = std::min(before + step, maxCount);
        count -= (*least)->wanted - before;
    }
    return 0;
}

// The zones that may get hosts: those with all of theirs, or the others.
template <class Zones>
Zones receivers(const Zones& zones, bool complete) {
    Zones chosen;
    for (auto* zone : zones)
        if (zone->usable && zone->mayChange && zone->complete == complete) chosen.push_back(zone);
    return chosen;
}

template <class Zones>
int addWithinRegion(int count, int maxCount, const Zones& zones) {
    count = addHosts(count, maxCount, receivers(zones, true));
    return addHosts(count, maxCount, receivers(zones, false));
}

}  // namespace

std::map<std::string, int> ScalingPolicy::decide(Millis now, const ScalingBounds& bounds,
                                                 const std::vector<ZoneObservation>& zones) {
    forgetZonesExcept(zones);
    if (bounds.minCount > bounds.maxCount) return {};
    std::vector<Zone> assessed;
    assessed.reserve(zones.size());
    for (const ZoneObservation& seen : zones)
        if (assessed.size() < kMaxZones) assessed.push_back(assess(now, bounds, seen));
    std::map<std::string, Region> regions;
    for (Zone& zone : assessed) regions[zone.seen->region].zones.push_back(&zone);

    int unplaced = 0;
    for (auto& entry : regions) {
        Region& region = entry.second;
        region.state = &regions_[entry.first];
        const int wanted = growth(now, bounds, region);
        if (wanted == 0) {
            shrink(now, region);
            continue;
        }
        region.state->lowSince.reset();
        unplaced += addWithinRegion(wanted, bounds.maxCount, region.zones);
    }
    for (auto& entry : regions) {
        if (unplaced == 0) break;
        unplaced = addWithinRegion(unplaced, bounds.maxCount, entry.second.zones);
    }
    std::map<std::string, int> counts;
    for (const Zone& zone : assessed) counts[zone.seen->zone] = zone.wanted;
    return counts;
}

void ScalingPolicy::onOrdered(Millis now, const std::string& zone) {
    const auto found = zones_.find(zone);
    if (found != zones_.end()) found->second.orderedAt = now;
}

ScalingPolicy::Zone ScalingPolicy::assess(Millis now, const ScalingBounds& bounds,
                                          const ZoneObservation& seen) {
    const bool isNew = !zones_.contains(seen.zone);
    ZoneState& state = zones_[seen.zone];
    if (!seen.ordered) state.startingCount = std::max(state.startingCount, seen.serving);
    if (seen.ordered && isNew) state.startingCount = *seen.ordered;
    const Millis sinceOrder = state.orderedAt ? now - *state.orderedAt : 0;
    const bool isComing = state.orderedAt && sinceOrder < bounds.boot + kBootGracePeriod;
    Zone zone;
    zone.seen = &seen;
    zone.startingCount = state.startingCount;
    zone.base = seen.ordered.value_or(seen.serving);
    zone.wanted = seen.ordered ? std::clamp(zone.base, bounds.minCount, bounds.maxCount) : zone.base;
    const int lowest = floor_ == Floor::startingCount ? state.startingCount : bounds.minCount;
    zone.floor = std::clamp(lowest, bounds.minCount, bounds.maxCount);
    zone.usable = !seen.evacuated && seen.serving > 0;
    zone.expected = isComing ? std::max(seen.serving, zone.base) : seen.serving;
    zone.complete = zone.expected >= (seen.ordered ? zone.base : state.startingCount);
    zone.mayChange = !state.orderedAt || sinceOrder >= kMinOrderInterval;
    return zone;
}

double ScalingPolicy::forecast(Millis now, const ScalingBounds& bounds, RegionState& state, double running) {
    std::deque<Sample>& samples = state.samples;
    if (samples.empty() || now - samples.back().at >= kMinSampleSpacing) samples.push_back({now, running});
    while (now - samples.front().at > kTrendWindow) samples.pop_front();
    const double expected = running + std::max(slopeOf(samples), 0.0) * bounds.boot;
    return std::min(expected, kMaxForecastRatio * running);
}

// How many hosts are to be added to the region; 0 where none.
int ScalingPolicy::growth(Millis now, const ScalingBounds& bounds, Region& region) {
    double running = 0;
    double capacity = 0;
    int serving = 0;
    for (const Zone* zone : region.zones) {
        if (!zone->seen->running) return 0;
        running += *zone->seen->running;
        capacity += zone->seen->capacity;
        serving += zone->seen->serving;
        if (zone->usable) region.expected += zone->expected;
    }
    if (serving == 0 || capacity <= 0) return 0;
    region.capacityOfHost = capacity / serving;
    region.forecast = forecast(now, bounds, *region.state, running);
    if (region.hostsFor(kHighUtilization) <= region.expected) return 0;
    return region.hostsFor(kTargetUtilization) - region.expected;
}

void ScalingPolicy::shrink(Millis now, Region& region) {
    RegionState& state = *region.state;
    const bool isWhole = std::all_of(region.zones.begin(), region.zones.end(), [](const Zone* zone) {
        return zone->usable && zone->complete && zone->seen->draining == 0 && zone->seen->cold == 0;
    });
    const bool isLow = isWhole && region.capacityOfHost > 0 &&
                       region.hostsFor(kTargetUtilization) + kSpareHosts < region.expected;
    if (!isLow) {
        state.lowSince.reset();
        return;
    }
    if (!state.lowSince) state.lowSince = now;
    const bool isTooSoon = state.decreasedAt && now - *state.decreasedAt < kMinDecreaseInterval;
    if (now - *state.lowSince < kStabilizationTime || isTooSoon) return;
    const auto excess = [](const Zone* zone) { return zone->wanted - zone->floor; };
    const auto most =
        std::max_element(region.zones.begin(), region.zones.end(),
                         [&](const Zone* one, const Zone* other) { return excess(one) < excess(other); });
    if (excess(*most) <= 0 || !(*most)->mayChange) return;
    --(*most)->wanted;
    state.decreasedAt = now;
}

void ScalingPolicy::forgetZonesExcept(const std::vector<ZoneObservation>& zones) {
    std::erase_if(zones_, [&](const auto& entry) {
        return std::ranges::find(zones, entry.first, &ZoneObservation::zone) == zones.end();
    });
    std::erase_if(regions_, [&](const auto& entry) {
        return std::ranges::find(zones, entry.first, &ZoneObservation::region) == zones.end();
    });
}

}  // namespace beechpoint::duties
