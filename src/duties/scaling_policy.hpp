/// How many hosts of one service each zone is to have: from the hosts listed, the requests running and the bounds of the service's `scaling` to a
/// desired count per zone. Free of I/O and clock: times come with the observation. One object per service; not thread-safe.
///
/// Decisions are made per region, since a region's gateways spread requests over the hosts of all its zones.
///
///   what is seen                                                   | what is wanted
///   load unknown in the region                                     | the base count
///   forecast above kHighUtilization of the usable hosts                    | as many as bring it to kTargetUtilization: in the region's complete zones,
///                                                                  | then in those that lost hosts, then in the other regions
///   for kStabilizationTime below kTargetUtilization with kSpareHosts hosts fewer, | one host fewer, in the zone with the most above its floor
///   and the region whole: none evacuated, lost, leaving or cold    |
///   else                                                           | the base count
///
/// The base count of a zone is the last one ordered, or what the list shows before the first order; the forecast is the load expected after the
/// time that a new host takes to serve. A zone's count changes at most once in kMinOrderInterval, and falls at most once in kMinDecreaseInterval.
/// Invariant: a count that differs from the base count lies between the service's `min_count` and `max_count`.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::duties {

/// Of one service; the counts apply to each zone.
struct ScalingBounds {
    int minCount = 0;
    int maxCount = 0;
    Millis boot = 0;  ///< from an order until a new host serves
};

/// One zone in which the service runs, at one moment.
struct ZoneObservation {
    std::string zone;
    std::string region;
    int serving = 0;                ///< hosts listed as serving, cold ones among them
    int cold = 0;                   ///< of these, those that warm up
    int draining = 0;               ///< listed as draining, with or without a notice of removal
    double capacity = 0;            ///< requests at once of the serving hosts together
    std::optional<double> running;  ///< requests that run at its hosts; nothing: not known
    bool evacuated = false;
    std::optional<int> ordered;  ///< desired count of the last order; nothing: none
};

class ScalingPolicy {
public:
    /// The count that the policy does not go below by itself.
    enum class Floor {
        startingCount,  ///< of hosts before the first order: those present at the start are never ordered away
        minCount,       ///< of the bounds
    };

    static constexpr double kHighUtilization =
        0.65;  ///< of the usable hosts' capacity: more hosts are wanted above
    static constexpr double kTargetUtilization =
        0.45;                              ///< as many hosts are wanted as bring the use down to this
    static constexpr int kSpareHosts = 2;  ///< of a region, beyond the target, before a host is taken away
    static constexpr Millis kTrendWindow = 4000;          ///< the forecast is drawn from the load of so long
    static constexpr double kMaxForecastRatio = 2;        ///< times the present load
    static constexpr Millis kStabilizationTime = 30'000;  ///< of low load and whole zones before a decrease
    static constexpr Millis kMinOrderInterval = 3000;     ///< of one zone
    static constexpr Millis kMinDecreaseInterval = 10'000;  ///< of one region
    static constexpr Millis kBootGracePeriod =
        2000;  ///< hosts that have not come so long after their time are lost
    static constexpr Millis kMinSampleSpacing = 200;
    static constexpr std::size_t kMaxZones = 256;  ///< of a service; further ones keep what they have

    explicit ScalingPolicy(Floor floor) : floor_(floor) {}

    /// Desired counts by zone. To be called about every second, with all zones of the service.
    [[nodiscard]] std::map<std::string, int> decide(Millis now, const ScalingBounds& bounds,
                                                    const std::vector<ZoneObservation>& zones);

    /// An order for the zone was recorded; decide() holds the zone's count for a while.
    void onOrdered(Millis now, const std::string& zone);

private:
    struct ZoneState {
        int startingCount =
            0;  // the highest before the first order; where that is not known, the first order seen
        std::optional<Millis> orderedAt = std::nullopt;
    };
    struct Sample {
        Millis at = 0;
        double running = 0;
    };
    struct RegionState {
        std::deque<Sample> samples;  // of the last kTrendWindow
        std::optional<Millis> lowSince = std::nullopt;
        std::optional<Millis> decreasedAt = std::nullopt;
    };
    struct Zone;  // what is derived of an observation
    struct Region;

    [[nodiscard]] Zone assess(Millis now, const ScalingBounds& bounds, const ZoneObservation& seen);
    [[nodiscard]] double forecast(Millis now, const ScalingBounds& bounds, RegionState& state,
                                  double running);
    [[nodiscard]] int growth(Millis now, const ScalingBounds& bounds, Region& region);
    void shrink(Millis now, Region& region);
    void forgetZonesExcept(const std::vector<ZoneObservation>& zones);

    Floor floor_;
    std::map<std::string, ZoneState> zones_;
    std::map<std::string, RegionState> regions_;
};

}  // namespace beechpoint::duties
