/// The services that requests go to, each with this gateway's part of the budgets. Bounded: a service that is not
/// in the configuration is forgotten once it is not used.
#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

struct Settings;

/// Owns the states; references are valid until prune(), which never removes a service that was used lately.
class ServiceTable {
public:
    ServiceTable(const Settings& settings, Millis startedAt) : settings_(settings), startedAt_(startedAt) {}

    /// The service's state, made where there is none.
    ServiceState& at(const std::string& name, Millis now);
    /// The same for a request; marks the service as used now.
    ServiceState& use(const std::string& name, Millis now);

    /// Replaces the configuration.
    void configure(const ServiceList& list, Millis now);
    /// The number of gateways that divide the budgets among themselves has changed.
    void setFleet(const Fleet& fleet, Millis now);
    /// Time passes: the usual number of attempts that wait at a host of each service.
    void smoothWaiting(const HostTable& hosts, Millis passed);
    /// Whether the other gateways report what they have waiting.
    void setLoadReported(bool reported);
    /// Forgets those that are not in the configuration and were not used since `oldest`.
    void prune(Millis oldest);

private:
    // Whether sends of an earlier process of this gateway may still count.
    bool earlierProcessMayCount(Millis now) const { return now < startedAt_ + SlowStartShare::kSpan; }
    void applyFleet(ServiceState& state, Millis now);

    const Settings& settings_;
    Millis startedAt_;
    Fleet fleet_;
    std::unordered_map<std::string, ServiceState> services_;
};

}  // namespace beechpoint::dispatch
