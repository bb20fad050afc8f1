/// The hosts that the platform lists, by index in a table, with what this gateway knows of each. Bounded: a host that is
/// no longer listed is forgotten once nothing is in flight there, and what is known of a route's requests once it is old.
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

inline constexpr double kSlownessMemoryS = 60;  // long, as a machine's speed hardly changes

/// A host as this gateway knows it. Written by HostTable (list), HostHealth (health), Predictor (times, load) and
/// ReportedLoad (others' load).
struct HostSlot {
    Host host;  ///< as listed last; an empty instanceId: the slot is spare
    bool listed = false;
    std::unordered_map<RouteId, coordinator::policy::Record> records;
    coordinator::policy::Mean ratio;  ///< times over the average host's, all routes
    coordinator::policy::Mean slowness{
        kSlownessMemoryS};   ///< of its prefill, over the average host's, as measured by all gateways
    double newSlowness = 0;  ///< measured here and not reported yet; 0: none
    coordinator::policy::Mean failures{coordinator::policy::kFailMemoryS};  ///< all routes

    int inFlight = 0;       ///< attempts whose AttemptEnded has not come
    int waiting = 0;        ///< of these, without a first event
    double waitingS = 0;    ///< seconds of prefill that the host is expected to need for them
    int othersWaiting = 0;  ///< the same of the other gateways, as they report
    double othersS = 0;
    Millis progressAt = 0;     ///< when something last ceased to wait there, or began to after nothing did
    bool loadChanged = false;  ///< since it was last reported to the other gateways

    Millis fullUntil = 0;  ///< it reported that it is full
    bool partitioned =
        false;  ///< a connection broke or could not be made, and no health check has passed since
    bool unreachable = false;  ///< could not be reached at all: warming up once it can
    bool healthCheckPending = false;
    Millis healthCheckAt = 0;  ///< the next one, while partitioned; else when a pending one is given up
    Millis healthCheckInterval = 0;

    Millis warmingUpUntil = 0;  ///< as reported
    Millis warmingUpSince = 0;  ///< counts as warming up for the service's warm-up from here; 0: doesn't
    SlowStartLog sends;         ///< also while it is warm: it may have to warm up any moment
    Millis unlistedAt = 0;      ///< since when it is not listed
    Millis endedAt = 0;         ///< when another instance last answered at its address; 0: never

    /// `warmup`: the service's.
    [[nodiscard]] bool warmingUp(Millis now, Millis warmup) const {
        return now < warmingUpUntil || (warmingUpSince > 0 && now < warmingUpSince + warmup);
    }
};

/// Owns the slots. An index stays a host's as long as the host is listed or has attempts in flight; references are valid
/// until the next update().
class HostTable {
public:
    /// Replaces the list. Hosts that come after the first list count as warming up from now.
    void update(const HostList& list, Millis now);
    /// Replaces the evacuated zones. Hosts of a zone that is used again count as warming up from now.
    void evacuate(const EvacuatedZones& zones, Millis now);

    /// `index`: one that this table gave.
    HostSlot& at(int index) { return slots_[static_cast<std::size_t>(index)]; }
    const HostSlot& at(int index) const { return slots_[static_cast<std::size_t>(index)]; }
    /// -1: not known.
    [[nodiscard]] int find(const std::string& instance) const;
    /// The same by hostKey() of the instance.
    [[nodiscard]] int findKey(std::uint32_t key) const;
    /// Indexes of the listed hosts, draining ones included, in ascending order.
    [[nodiscard]] const std::vector<int>& ofService(const std::string& service) const;
    /// Slots in use or spare.
    [[nodiscard]] std::size_t size() const { return slots_.size(); }

    /// Whether new requests may go there at all: listed, serving, not ended, and in no evacuated zone.
    bool serving(const HostSlot& slot) const {
        const bool offered = slot.listed && slot.endedAt == 0 && slot.host.state == HostState::serving;
        return offered && !evacuated_.contains(slot.host.zone);
    }
    /// Forgets hosts that have been unlisted for long and have nothing in flight, and records without use since `oldest`.
    void prune(Millis now, Millis oldest);

private:
    int allocateSlot(const std::string& instance);
    void listHost(const Host& host, Millis now);

    std::vector<HostSlot> slots_;
    std::vector<int> spare_;
    std::unordered_map<std::string, int> index_;
    std::unordered_map<std::uint32_t, int> keys_;
    std::unordered_map<std::string, std::vector<int>> byService_;
    std::set<std::string> evacuated_;
    bool listReceived_ = false;
};

}  // namespace beechpoint::dispatch
