/// What the dispatcher is told of the configuration and of the host list. Pure functions.
#pragma once

#include "dispatch/messages.hpp"
#include "host_discovery/host_list.hpp"
#include "routing/routing_table.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::gateway {

[[nodiscard]] dispatch::ServiceList servicesOf(const routing::RoutingTable& table);
[[nodiscard]] dispatch::EvacuatedZones evacuationsOf(const routing::RoutingTable& table);

/// The hosts with their remaining times counted from `now`. The settings tell the zones' regions.
[[nodiscard]] dispatch::HostList hostsOf(const host_discovery::HostList& list,
                                         const settings::ProcessSettings& settings, Millis now);

}  // namespace beechpoint::gateway
