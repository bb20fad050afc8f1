/// Autoscaling policy of one service: computes the desired host count per zone from the listed hosts, the running requests and the bounds in the
/// service's `scaling` setting. No I/O or clock: the time is a parameter. One object per service; not thread-safe.
///
/// Decisions are made per region, since a region's gateways distribute requests over the hosts of all its zones.
///
///   observation                                                     | desired count
///   load unknown in the region                                      | the base count
///   forecast above kHighUtilization of the usable hosts             | the count that lowers it to kTargetUtilization: in the region's
///                                                                   | complete zones, then in those that lost hosts, then in other regions
///   below kTargetUtilization with kSpareHosts fewer hosts, for      | one host fewer, in the zone with the most hosts above its floor
///   kStabilizationTime, with no zone evacuated, incomplete,         |
///   draining or cold                                                |
///   otherwise                                                       | the base count
///
/// The base count of a zone is the last count ordered, or the listed hosts before the first order. The forecast is the load expected after the
/// boot time of a new host. A zone's count changes at most once per kMinOrderInterval; a region decreases at most once per kMinDecreaseInterval.
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

/// Bounds of one service; the counts apply to each zone.
struct ScalingBounds {
    int minCount = 0;
    int maxCount = 0;
    Millis boot = 0;  ///< time from an order until a new host serves requests
};

/// One zone in which the service runs, at one moment.
struct ZoneObservation {
    std::string zone;
    std::string region;
    int serving = 0;                ///< hosts listed as serving, including cold ones
    int cold = 0;                   ///< serving hosts that are warming up
    int draining = 0;               ///< listed as draining, with or without a notice of removal
    double capacity = 0;            ///< concurrent requests of all serving hosts together
    std::optional<double> running;  ///< requests in progress at its hosts; empty: unknown
    bool evacuated = false;
    std::optional<int> ordered;  ///< desired count of the last order; empty: none
};

class ScalingPolicy {
public:
    /// Lower limit of the policy's own decreases.
    enum class Floor {
        startingCount,  ///< hosts before the first order: those present at the start are never removed
        minCount,       ///< ScalingBounds::minCount
    };

    static constexpr double kHighUtilization =
        0.65;  ///< share of the usable hosts' capacity above which hosts are added
    static constexpr double kTargetUtilization = 0.45;  ///< share of the capacity that an increase aims for
    static constexpr int kSpareHosts = 2;  ///< hosts of a region beyond the target that a decrease must leave
    static constexpr Millis kTrendWindow = 4000;  ///< span of the load samples that the forecast extrapolates
    static constexpr double kMaxForecastRatio =
        2;  ///< limit of the forecast, as a multiple of the current load
    static constexpr Millis kStabilizationTime =
        30'000;  ///< low load and complete zones must last this long before a decrease
    static constexpr Millis kMinOrderInterval = 3000;       ///< per zone
    static constexpr Millis kMinDecreaseInterval = 10'000;  ///< per region
    static constexpr Millis kBootGracePeriod = 2000;        ///< hosts overdue by more than this count as lost
    static constexpr Millis kMinSampleSpacing = 200;
    static constexpr std::size_t kMaxZones = 256;  ///< per service; counts of further zones stay unchanged

    explicit ScalingPolicy(Floor floor) : floor_(floor) {}

    /// Returns the desired counts by zone. Call this about once a second with all zones of the service.
    [[nodiscard]] std::map<std::string, int> decide(Millis now, const ScalingBounds& bounds,
                                                    const std::vector<ZoneObservation>& zones);

    /// Records that an order for the zone was made; decide() keeps the zone's count for kMinOrderInterval.
    void onOrdered(Millis now, const std::string& zone);

private:
    struct ZoneState {
        int startingCount = 0;  // highest count before the first order; if unknown, the first order observed
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
    struct Zone;  // values derived from one observation
    struct Region;

    [[nodiscard]] Zone assess(Millis now, const ScalingBounds& bounds, const ZoneObservation& observation);
    [[nodiscard]] double forecast(Millis now, const ScalingBounds& bounds, RegionState& state,
                                  double running);
    [[nodiscard]] int hostsToAdd(Millis now, const ScalingBounds& bounds, Region& region);
    void decreaseIfUnderused(Millis now, Region& region);
    void removeZonesExcept(const std::vector<ZoneObservation>& zones);

    Floor floor_;
    std::map<std::string, ZoneState> zones_;
    std::map<std::string, RegionState> regions_;
};

}  // namespace beechpoint::duties
