/// The gateway's routing table: an immutable snapshot of the replicated table, replaced as a whole. It maps a
/// request to its route and the services that may run it; the host is chosen by dispatch::Dispatcher. A
/// request keeps the snapshot that it was routed by. Snapshots may be read from any thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "core/replicated_table.hpp"
#include "routing/string_map.hpp"
#include "tenants/tenant_directory.hpp"

namespace beechpoint::routing {

using Digest = std::array<std::uint64_t, 2>;  ///< 128-bit hash of a stored value

/// A service of a route's traffic split, with the cumulative fraction of requests up to and including it.
struct BackendWeight {
    std::string service;
    double cumulativeWeight = 1;  ///< increases along the list; 1 for the last entry
};

struct RouteEntry {
    configuration::Route route;
    std::string host;                    ///< normalized like Host headers
    std::vector<BackendWeight> weights;  ///< without entries of weight 0; never empty
    Digest digest{};

    /// The service for a draw in [0, 1).
    [[nodiscard]] const std::string& backendFor(double draw) const;
    [[nodiscard]] bool routesTo(std::string_view service) const;
    /// Whether the route allows the region; a tenant may restrict it further.
    [[nodiscard]] bool allows(std::string_view region) const;
};

struct ServiceEntry {
    configuration::Service service;
    Digest digest{};
};

/// The routes of one host name, by prefix.
struct HostRoutes {
    StringMap<std::shared_ptr<const RouteEntry>> byPrefix;
    std::size_t longestPrefix = 0;  ///< bytes
};

class RoutingTable {
public:
    /// Lower case, without port and trailing dot.
    [[nodiscard]] static std::string normalizeHost(std::string_view hostHeader);

    /// The route with the longest matching path prefix; nullptr: none. A query string is ignored.
    std::shared_ptr<const RouteEntry> find(std::string_view hostHeader, std::string_view path) const;
    std::shared_ptr<const RouteEntry> findRoute(std::string_view name) const;
    /// nullptr: no service of this name.
    std::shared_ptr<const ServiceEntry> findService(std::string_view name) const;

    const StringMap<std::shared_ptr<const RouteEntry>>& routes() const { return routes_; }
    const StringMap<std::shared_ptr<const ServiceEntry>>& services() const { return services_; }
    const configuration::Limits& limits() const { return limits_; }
    const std::set<std::string, std::less<>>& evacuatedZones() const { return evacuatedZones_; }
    /// nullptr if the configuration has no tenants: requests need no API key.
    const std::shared_ptr<const tenants::TenantDirectory>& tenants() const { return tenants_; }
    bool evacuated(std::string_view zone) const { return evacuatedZones_.contains(zone); }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] Position position() const { return position_; }
    /// Id of the cluster that the table is from; 0: unknown.
    [[nodiscard]] std::uint64_t clusterId() const { return clusterId_; }
    /// Number of values in the last update that could not be parsed and were skipped; 0 unless control runs
    /// another version.
    [[nodiscard]] std::size_t unreadableCount() const { return unreadable_; }

    [[nodiscard]] static std::shared_ptr<const RoutingTable> fromTable(const Table& table, Position position);
    /// `base` with the update applied. Entries with unchanged values are shared with it. The caller must
    /// apply updates in order.
    [[nodiscard]] static std::shared_ptr<const RoutingTable> updated(const RoutingTable& base,
                                                                     const TableUpdate& update);

private:
    friend class RoutingTableBuilder;

    StringMap<std::shared_ptr<const RouteEntry>> routes_;
    StringMap<std::shared_ptr<const ServiceEntry>> services_;
    StringMap<std::shared_ptr<const HostRoutes>> hosts_;
    configuration::Limits limits_;
    std::shared_ptr<const tenants::TenantDirectory> tenants_;
    std::set<std::string, std::less<>> evacuatedZones_;
    std::uint64_t revision_ = 0;
    std::uint64_t clusterId_ = 0;
    Position position_;
    std::size_t unreadable_ = 0;
};

}  // namespace beechpoint::routing
