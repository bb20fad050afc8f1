// The hosts that the platform lists, by place in a table, with what this gateway knows of each. Bounded: a host that is
// no longer listed is forgotten once nothing is out there, and what is known of a route's requests once it is old.
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

inline constexpr double kSlownessMemoryS = 60;  // a machine is as fast as it is

struct HostSlot {
    Host host;
    bool listed = false;
    std::unordered_map<RouteId, coordinator::policy::Record> records;
    coordinator::policy::Mean ratio;  // times over the average host's, all routes
    coordinator::policy::Mean slowness{
        kSlownessMemoryS};   // of its reading, over the average host's, by all gateways
    double newSlowness = 0;  // measured here and not told yet; 0: none
    coordinator::policy::Mean failures{coordinator::policy::kFailMemoryS};  // all routes

    int inFlight = 0;       // attempts whose end is owed
    int waiting = 0;        // of these, without a first event
    double waitingS = 0;    // seconds that the host is expected to read for them
    int othersWaiting = 0;  // the same of the other gateways, as they tell
    double othersS = 0;
    Millis progressAt = 0;     // when something last ceased to wait there, or began to after nothing did
    bool loadChanged = false;  // since it was last told to the other gateways

    Millis fullUntil = 0;      // it said so
    bool partitioned = false;  // a connection broke or could not be made, and no probe has passed since
    bool unreachable = false;  // could not be reached at all: cold once it can
    bool healthCheckPending = false;
    Millis healthCheckAt = 0;  // the next one, while cut
    Millis healthCheckInterval = 0;

    Millis warmingUpUntil = 0;  // as told
    Millis warmingUpSince = 0;  // counts as cold for the service's warm-up from here; 0: doesn't
    SlowStartLog sends;
    Millis unlistedAt = 0;  // since when it is not listed

    bool warmingUp(Millis now, Millis warmup) const {
        return now < warmingUpUntil || (warmingUpSince > 0 && now < warmingUpSince + warmup);
    }
};

class HostTable {
public:
    // Replaces the list. Hosts that come after the first list count as cold from now.
    void update(const HostList& list, Millis now);
    // Replaces the evacuated zones. Hosts of a zone that is taken back count as cold from now.
    void evacuate(const EvacuatedZones& zones, Millis now);

    HostSlot& at(int index) { return slots_[static_cast<std::size_t>(index)]; }
    const HostSlot& at(int index) const { return slots_[static_cast<std::size_t>(index)]; }
    int find(const std::string& instance) const;  // -1: not known
    int findKey(std::uint32_t key) const;         // the same, by hostKey()
    const std::vector<int>& ofService(
        const std::string& service) const;  // listed ones, draining ones included
    std::size_t size() const { return slots_.size(); }

    // Whether new requests may go there at all: listed, serving, and in no evacuated zone.
    bool serving(const HostSlot& slot) const {
        return slot.listed && slot.host.state == HostState::serving && !evacuated_.contains(slot.host.zone);
    }
    // Forgets hosts that are gone and have nothing out, and records without use since `oldest`.
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
