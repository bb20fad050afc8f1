#include "dispatch/host_health.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr Millis kMinCheckInterval = 500;  // of a partitioned host; doubled up to kMaxCheckInterval
constexpr Millis kMaxCheckInterval = 2000;
constexpr Millis kCheckTimeout = 3000;  // a check without a result is given up
constexpr Millis kMinFullPause = 20;    // without sends to a host that reported that it is full
constexpr Millis kMaxFullPause = 500;

}  // namespace

void HostHealth::markFull(HostSlot& slot, const RouteRecord& route, Millis now) {
    const Millis mean = 1000 * route.timeS(now);
    slot.fullUntil = now + std::clamp(mean, kMinFullPause, kMaxFullPause);
}

void HostHealth::markPartitioned(HostSlot& slot, ConnectionFailure failure, Millis now) {
    if (!slot.partitioned) {
        slot.healthCheckAt = now;
        slot.healthCheckInterval = kMinCheckInterval;
        actions_.log("host partitioned", fmt::format("{} at {}", slot.host.instanceId, slot.host.address));
    }
    slot.partitioned = true;
    if (failure == ConnectionFailure::notConnected) slot.unreachable = true;
}

void HostHealth::markEnded(HostSlot& slot, Millis now) {
    if (slot.endedAt == 0)
        actions_.log("host ended", fmt::format("{} at {}", slot.host.instanceId, slot.host.address));
    slot.endedAt = now;
}

// A host that was unreachable may have restarted, so it is treated as warming up.
void HostHealth::markReachable(HostSlot& slot, Millis now) {
    if (slot.unreachable) slot.warmingUpSince = now;
    if (slot.partitioned) actions_.log("host reachable", slot.host.instanceId);
    slot.partitioned = false;
    slot.unreachable = false;
}

void HostHealth::markWarmingUp(const WarmupReported& report, Millis now) {
    const int index = hosts_.find(report.instanceId);
    if (index < 0 || report.left <= 0) return;
    HostSlot& slot = hosts_.at(index);
    slot.warmingUpUntil = std::max(slot.warmingUpUntil, now + report.left);
}

void HostHealth::requestHealthCheck(HostSlot& slot, Millis now) {
    slot.healthCheckPending = true;
    slot.healthCheckAt = now + kCheckTimeout;
    actions_.add(CheckHealth{slot.host.instanceId, slot.host.address, slot.host.service});
}

void HostHealth::checkUnresponsive(HostSlot& slot, Millis now) {
    if (!slot.listed || slot.partitioned) return;
    const bool checkInFlight = slot.healthCheckPending && now < slot.healthCheckAt;
    if (!checkInFlight) requestHealthCheck(slot, now);
}

void HostHealth::checkPartitioned(Millis now) {
    nextCheckAt_ = std::numeric_limits<double>::infinity();
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
        HostSlot& slot = hosts_.at(i);
        if (!slot.partitioned || !slot.listed) continue;
        if (now >= slot.healthCheckAt) requestHealthCheck(slot, now);
        nextCheckAt_ = std::min(nextCheckAt_, slot.healthCheckAt);
    }
}

void HostHealth::healthCheckEnded(const HealthCheckEnded& ended, Millis now) {
    const int index = hosts_.find(ended.instanceId);
    if (index < 0) return;
    HostSlot& slot = hosts_.at(index);
    slot.healthCheckPending = false;
    if (ended.warmupLeft > 0) markWarmingUp(WarmupReported{ended.instanceId, ended.warmupLeft}, now);
    if (ended.healthy) {
        markReachable(slot, now);
        return;
    }
    if (ended.answered && !slot.partitioned) return;  // the host is running, but full or draining
    markPartitioned(slot, ended.answered ? ConnectionFailure::reset : ConnectionFailure::notConnected, now);
    slot.healthCheckAt = now + slot.healthCheckInterval;
    slot.healthCheckInterval = std::min(2 * slot.healthCheckInterval, kMaxCheckInterval);
}

}  // namespace beechpoint::dispatch
