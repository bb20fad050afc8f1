/// The services that requests are sent to, each with this gateway's share of the budgets. Bounded: an unused
/// service that is not in the configuration is removed.
#pragma once

#include <string>
#include <unordered_map>

#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

struct Settings;

/// Owns the states; references are valid until prune(), which never removes a recently used service.
class ServiceTable {
public:
    ServiceTable(const Settings& settings, Millis startedAt) : settings_(settings), startedAt_(startedAt) {}

    /// The service's state, created if there is none.
    ServiceState& getOrCreate(const std::string& name, Millis now);
    /// The same for a request. Marks the service as used now.
    ServiceState& use(const std::string& name, Millis now);

    /// Replaces the configuration.
    void configure(const ServiceList& list, Millis now);
    /// The number of gateways that share the budgets has changed.
    void setFleet(const Fleet& fleet, Millis now);
    /// Updates each service's moving average of attempts waiting per host.
    void updateMeanWaiting(const HostTable& hosts, Millis passed);
    /// Sets whether the other gateways report their load.
    void setPeerLoadKnown(bool known);
    /// Removes services that are not in the configuration and were not used since `oldest`.
    void prune(Millis oldest);

private:
    // Whether sends of a previous process of this gateway may still be within the slow-start span.
    bool previousProcessMayCount(Millis now) const { return now < startedAt_ + SlowStartShare::kSpan; }
    void applyFleet(ServiceState& state, Millis now);

    const Settings& settings_;
    Millis startedAt_;
    Fleet fleet_;
    std::unordered_map<std::string, ServiceState> services_;
};

}  // namespace beechpoint::dispatch
