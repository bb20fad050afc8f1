#include "routing/routing_table.hpp"

#include <algorithm>

#include "configuration/host_name.hpp"
#include "routing/routing_table_builder.hpp"

namespace beechpoint::routing {
namespace {

std::string_view withoutPort(std::string_view host) {
    const std::size_t bracket = host.rfind(']');  // end of an IPv6 address
    const std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
    return host.substr(0, colon);
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

std::shared_ptr<const RouteEntry> longestMatch(const HostRoutes& host, std::string_view path) {
    // Prefixes end with a slash, so only the parts of the path up to a slash are candidates.
    std::string_view candidate = path.substr(0, std::min(path.size(), host.longestPrefix));
    while (!candidate.empty()) {
        const std::size_t slash = candidate.rfind('/');
        if (slash == std::string_view::npos) return nullptr;
        candidate = candidate.substr(0, slash + 1);
        if (const auto found = host.byPrefix.find(candidate); found != host.byPrefix.end())
            return found->second;
        candidate.remove_suffix(1);
    }
    return nullptr;
}

}  // namespace

const std::string& RouteEntry::backendFor(double draw) const {
    for (const BackendWeight& weight : weights)
        if (draw < weight.cumulativeWeight) return weight.service;
    return weights.back().service;
}

bool RouteEntry::routesTo(std::string_view service) const {
    return std::any_of(weights.begin(), weights.end(),
                       [service](const BackendWeight& weight) { return weight.service == service; });
}

bool RouteEntry::allows(std::string_view region) const {
    const std::vector<std::string>& regions = route.allowedRegions;
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::string RoutingTable::normalizeHost(std::string_view hostHeader) {
    return configuration::comparableHost(withoutPort(trimmed(hostHeader)));
}

std::shared_ptr<const RouteEntry> RoutingTable::find(std::string_view hostHeader,
                                                     std::string_view path) const {
    const auto host = hosts_.find(normalizeHost(hostHeader));
    if (host == hosts_.end()) return nullptr;
    return longestMatch(*host->second, path.substr(0, path.find('?')));
}

std::shared_ptr<const RouteEntry> RoutingTable::findRoute(std::string_view name) const {
    return findEntry(routes_, name);
}

std::shared_ptr<const ServiceEntry> RoutingTable::findService(std::string_view name) const {
    return findEntry(services_, name);
}

std::shared_ptr<const RoutingTable> RoutingTable::fromTable(const Table& table, Position position) {
    const RoutingTable nothing;
    RoutingTableBuilder builder = RoutingTableBuilder::replacing(nothing);
    for (const auto& [key, value] : table) builder.set(key, value);
    return builder.finish(position);
}

std::shared_ptr<const RoutingTable> RoutingTable::updated(const RoutingTable& base,
                                                          const TableUpdate& update) {
    RoutingTableBuilder builder =
        update.whole ? RoutingTableBuilder::replacing(base) : RoutingTableBuilder::changing(base);
    for (const Change& change : update.changes) {
        if (change.value)
            builder.set(change.key, *change.value);
        else
            builder.remove(change.key);
    }
    return builder.finish(update.position);
}

}  // namespace beechpoint::routing
