#include "dispatch/host_health.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr Millis kProbeFirstGap = 500;  // between looks at a host that is cut off; doubled up to
constexpr Millis kProbeLongestGap = 2000;
constexpr Millis kProbeOwed = 3000;  // a probe whose end does not come is given up
constexpr Millis kFullLeast = 20;    // a host that says it is full gets nothing for so long at least
constexpr Millis kFullMost = 500;

}  // namespace

void HostHealth::full(HostSlot& slot, const RouteRecord& route, Millis now) {
    const Millis mean = 1000 * route.timeS(now);
    slot.fullUntil = now + std::clamp(mean, kFullLeast, kFullMost);
}

void HostHealth::cutOff(HostSlot& slot, bool down, Millis now) {
    if (!slot.cut) {
        slot.probeAt = now;
        slot.probeGap = kProbeFirstGap;
        actions_.say("host cut off", fmt::format("{} at {}", slot.host.instanceId, slot.host.address));
    }
    slot.cut = true;
    slot.down = slot.down || down;
}

// One that could not be reached at all may have started anew and is taken for cold.
void HostHealth::reached(HostSlot& slot, Millis now) {
    if (slot.down) slot.coldSince = now;
    if (slot.cut) actions_.say("host back", slot.host.instanceId);
    slot.cut = slot.down = false;
}

void HostHealth::warming(const WarmupReported& seen, Millis now) {
    const int index = hosts_.find(seen.instanceId);
    if (index < 0 || seen.left <= 0) return;
    HostSlot& slot = hosts_.at(index);
    slot.coldUntil = std::max(slot.coldUntil, now + seen.left);
}

void HostHealth::probe(HostSlot& slot, Millis now) {
    slot.probing = true;
    slot.probeAt = now + kProbeOwed;
    actions_.act(CheckHealth{slot.host.instanceId, slot.host.address, slot.host.service});
}

void HostHealth::probeSilent(HostSlot& slot, Millis now) {
    if (slot.listed && !slot.cut && (!slot.probing || now >= slot.probeAt)) probe(slot, now);
}

void HostHealth::probeCutHosts(Millis now) {
    nextProbeAt_ = std::numeric_limits<double>::infinity();
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
        HostSlot& slot = hosts_.at(i);
        if (!slot.cut || !slot.listed) continue;
        if (now >= slot.probeAt) probe(slot, now);
        nextProbeAt_ = std::min(nextProbeAt_, slot.probeAt);
    }
}

void HostHealth::probeEnded(const HealthCheckEnded& ended, Millis now) {
    const int index = hosts_.find(ended.instanceId);
    if (index < 0) return;
    HostSlot& slot = hosts_.at(index);
    slot.probing = false;
    if (ended.warmupLeft > 0) warming(WarmupReported{ended.instanceId, ended.warmupLeft}, now);
    if (ended.healthy) return reached(slot, now);
    if (ended.answered && !slot.cut) return;  // it lives, and is full or leaving
    cutOff(slot, !ended.answered, now);
    slot.probeAt = now + slot.probeGap;
    slot.probeGap = std::min(2 * slot.probeGap, kProbeLongestGap);
}

}  // namespace beechpoint::dispatch
