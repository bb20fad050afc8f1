// The services that requests go to, each with its part of the budgets that all gateways share. Bounded: a service that is not
// in the configuration is forgotten once it is not used.
#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

struct Settings;

class ServiceTable {
public:
    ServiceTable(const Settings& settings, Millis startedAt) : settings_(settings), startedAt_(startedAt) {}

    ServiceState& at(const std::string& name, Millis now);
    // The same for a request that is being served.
    ServiceState& use(const std::string& name, Millis now);

    void configure(const ServiceList& list, Millis now);
    void setFleet(const Fleet& fleet, Millis now);
    // Time passes: the usual number of attempts that wait at a host of each service.
    void smoothWaiting(const HostTable& hosts, Millis passed);
    // Forgets those that no configuration has and that were not used since `oldest`.
    // Whether the other gateways tell what they have waiting.
    void setLoadReported(bool reported);
    void prune(Millis oldest);

private:
    bool earlierProcessMayCount(Millis now) const { return now < startedAt_ + SlowStartShare::kSpan; }
    void applyFleet(ServiceState& state, Millis now);

    const Settings& settings_;
    Millis startedAt_;
    Fleet fleet_;
    std::unordered_map<std::string, ServiceState> services_;
};

}  // namespace beechpoint::dispatch
