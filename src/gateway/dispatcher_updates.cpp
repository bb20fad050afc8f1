#include "gateway/dispatcher_updates.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::gateway {

namespace {

dispatch::Service serviceOf(const std::string& name, const configuration::Service& stated) {
    dispatch::Service service;
    service.name = name;
    service.warmupS = stated.warmupS;
    service.warmupPerS = stated.warmupPerS;
    service.maxConnections = static_cast<int>(stated.maxConnections);
    service.engine = stated.inferenceEngine.has_value();
    if (service.engine) service.cacheTokens = static_cast<std::uint64_t>(stated.inferenceEngine->cacheTokens);
    return service;
}

dispatch::HostState stateOf(host_discovery::HostState state) {
    if (state == host_discovery::HostState::draining) return dispatch::HostState::draining;
    return dispatch::HostState::serving;
}

dispatch::Host hostOf(const host_discovery::Host& listed, const settings::ProcessSettings& settings,
                      Millis sinceRead) {
    dispatch::Host host;
    host.instanceId = listed.instanceId;
    host.service = listed.service;
    host.address = listed.address;
    host.zone = listed.zone;
    host.region = settings.regionOf(listed.zone);
    host.capacity = static_cast<int>(std::max<std::uint32_t>(listed.capacity, 1));
    host.state = stateOf(listed.state);
    host.warmupLeft = std::max(listed.warmupLeft - sinceRead, 0.0);
    if (listed.remaining) host.remaining = std::max(*listed.remaining - sinceRead, 0.0);
    return host;
}

}  // namespace

dispatch::ServiceList servicesOf(const routing::RoutingTable& table) {
    dispatch::ServiceList services;
    for (const auto& [name, entry] : table.services())
        services.services.push_back(serviceOf(name, entry->service));
    return services;
}

dispatch::EvacuatedZones evacuationsOf(const routing::RoutingTable& table) {
    dispatch::EvacuatedZones evacuated;
    for (const std::string& zone : table.evacuatedZones()) evacuated.zones.push_back(zone);
    return evacuated;
}

dispatch::HostList hostsOf(const host_discovery::HostList& list, const settings::ProcessSettings& settings,
                           Millis now) {
    const Millis sinceRead = now - list.readAt;
    dispatch::HostList hosts;
    for (const host_discovery::Host& listed : list.hosts)
        hosts.hosts.push_back(hostOf(listed, settings, sinceRead));
    return hosts;
}

}  // namespace beechpoint::gateway
