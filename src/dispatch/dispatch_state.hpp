/// State shared by the dispatcher's parts: settings, time, random numbers, actions, hosts, routes and
/// services.
#pragma once

#include <cstdint>
#include <vector>

#include "coordinator/score.hpp"
#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "dispatch/action_list.hpp"
#include "dispatch/attempt_log.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/host_health.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/reported_load.hpp"
#include "dispatch/request.hpp"
#include "dispatch/route_table.hpp"
#include "dispatch/selection.hpp"
#include "dispatch/service_table.hpp"

namespace beechpoint::dispatch {

/// Owned by the Dispatcher and outlives all parts that refer to it. Not copyable, since members refer to one
/// another. Not thread-safe, like the Dispatcher.
struct DispatchState {
    DispatchState(Settings settings, std::uint64_t seed, Millis startedAt);
    DispatchState(const DispatchState&) = delete;
    DispatchState& operator=(const DispatchState&) = delete;

    Settings settings;
    SplitMix random;
    Millis now;  ///< time of the event being handled; never decreases
    ActionList actions;
    HostTable hosts;
    RouteTable routes;
    ServiceTable services;
    Selection selection;
    HostHealth health;
    AttemptLog attempts;
    ReportedLoad reportedLoad;

    [[nodiscard]] bool isEnabled(Mechanism mechanism) const {
        return settings.mechanisms.isEnabled(mechanism);
    }
    /// The service drawn for the request. Marks it as used now.
    ServiceState& serviceOf(const Request& request);
    /// The record of the request's route, updated with the request's latency target. Marks it as used now.
    RouteRecord& routeOf(const Request& request);
    /// The hosts that the request may be sent to now, best score first.
    [[nodiscard]] std::vector<coordinator::policy::Scored> ranked(const Request& request);
    /// Whether the route's mean time is well below its latency target. If all hosts are slow, hedged attempts
    /// would only add to the overload.
    [[nodiscard]] bool hasLatencyHeadroom(const Request& request);
};

}  // namespace beechpoint::dispatch
