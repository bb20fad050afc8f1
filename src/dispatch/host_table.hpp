/// Table of the hosts in the platform's list, with this gateway's measurements of each. Bounded: a host that
/// is no longer listed is removed once nothing is in flight there, and a route's measurements are removed
/// once they are unused.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordinator/record.hpp"
#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/slow_start_budget.hpp"

namespace beechpoint::dispatch {

using RouteId = int;

inline constexpr double kSlownessMemoryS = 60;  // long, since a machine's speed hardly changes

/// State of a host in this gateway. Written by HostTable (list), HostHealth (health), Predictor (times, load)
/// and ReportedLoad (load from peers).
struct HostSlot {
    Host host;  ///< as last listed; instanceId is empty if the slot is free
    bool listed = false;
    std::unordered_map<RouteId, coordinator::policy::Record> records;
    coordinator::policy::Mean timeRatio;  ///< time relative to the average host, all routes
    coordinator::policy::Mean slowness{
        kSlownessMemoryS};   ///< prefill time relative to the average host, from all gateways
    double newSlowness = 0;  ///< measured by this gateway, not yet reported; 0: none
    coordinator::policy::Mean failures{coordinator::policy::kFailMemoryS};  ///< failure rate, all routes

    int inFlight = 0;            ///< attempts without an AttemptEnded
    int waiting = 0;             ///< of these, waiting for their first event
    double waitingPrefillS = 0;  ///< expected prefill time of the waiting attempts, seconds
    int peerWaiting = 0;         ///< `waiting` and `waitingPrefillS` as reported by the other gateways
    double peerPrefillS = 0;
    Millis progressAt = 0;     ///< when an attempt last stopped waiting, or started to wait at an idle host
    bool loadChanged = false;  ///< since the last report to the other gateways

    Millis fullUntil = 0;      ///< no sends until then: it reported that it is full
    bool partitioned = false;  ///< its connection failed, and no health check has passed since
    bool unreachable = false;  ///< no connection could be opened; treated as warming up once reachable
    bool healthCheckPending = false;
    Millis healthCheckAt = 0;  ///< next check while partitioned; otherwise the time-out of the pending one
    Millis healthCheckInterval = 0;

    Millis warmingUpUntil = 0;  ///< as reported
    Millis warmingUpSince = 0;  ///< start of the service's warm-up time; 0: none
    SlowStartLog slowStartLog;  ///< kept while warm too: a warm-up may start at any time
    Millis unlistedAt = 0;      ///< when it was first missing from the list; 0: listed
    Millis endedAt = 0;         ///< when another instance last answered at its address; 0: never

    /// `warmup`: the service's warm-up time.
    [[nodiscard]] bool warmingUp(Millis now, Millis warmup) const {
        return now < warmingUpUntil || (warmingUpSince > 0 && now < warmingUpSince + warmup);
    }
};

/// Owns the slots. A host keeps its index while it is listed or has attempts in flight; references are valid
/// until the next update().
class HostTable {
public:
    /// Replaces the list. Hosts added after the first list are treated as warming up from now.
    void update(const HostList& list, Millis now);
    /// Replaces the evacuated zones. Hosts in a zone that is used again are treated as warming up from now.
    void evacuate(const EvacuatedZones& zones, Millis now);

    /// `index`: one returned by this table.
    HostSlot& at(int index) { return slots_[static_cast<std::size_t>(index)]; }
    const HostSlot& at(int index) const { return slots_[static_cast<std::size_t>(index)]; }
    /// Index of the host; -1: unknown.
    [[nodiscard]] int find(const std::string& instance) const;
    /// Index by hostKey() of the instance; -1: unknown.
    [[nodiscard]] int findByKey(std::uint32_t key) const;
    /// Indexes of the listed hosts, draining ones included, in ascending order.
    [[nodiscard]] const std::vector<int>& ofService(const std::string& service) const;
    /// Used and free slots.
    [[nodiscard]] std::size_t size() const { return slots_.size(); }

    /// Whether the host may get requests: listed, serving, not ended, and in no evacuated zone.
    bool serving(const HostSlot& slot) const {
        const bool offered = slot.listed && slot.endedAt == 0 && slot.host.state == HostState::serving;
        return offered && !evacuatedZones_.contains(slot.host.zone);
    }
    /// Removes hosts that are unlisted for kUnlistedRetention with nothing in flight, and records unused
    /// since `oldest`.
    void prune(Millis now, Millis oldest);

private:
    int allocateSlot(const std::string& instance);
    void listHost(const Host& host, Millis now);

    std::vector<HostSlot> slots_;
    std::vector<int> freeSlots_;
    std::unordered_map<std::string, int> indexById_;
    std::unordered_map<std::uint32_t, int> indexByKey_;
    std::unordered_map<std::string, std::vector<int>> byService_;
    std::set<std::string> evacuatedZones_;
    bool listReceived_ = false;
};

}  // namespace beechpoint::dispatch
