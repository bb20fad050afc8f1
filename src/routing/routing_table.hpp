/// The gateway's routes: an immutable snapshot of the replicated table, replaced as one. A request keeps the snapshot that it was
/// routed by. It decides which route a request takes and which services may run it; which host does is decided by
/// dispatch::Dispatcher. Snapshots never change and may be read from any thread.
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

using Digest = std::array<std::uint64_t, 2>;  ///< of a value of the table

/// A service that a route leads to, with the fraction of its requests up to and including this service.
struct BackendWeight {
    std::string service;
    double cumulativeWeight = 1;  ///< rises along the list; 1 for the last
};

struct RouteEntry {
    configuration::Route route;
    std::string host;                    ///< lower case, as compared with Host headers
    std::vector<BackendWeight> weights;  ///< without those of weight 0; never empty
    Digest digest{};

    /// The service for a draw in [0, 1).
    [[nodiscard]] const std::string& backendFor(double draw) const;
    [[nodiscard]] bool routesTo(std::string_view service) const;
    /// Whether a region may serve it as far as the route says.
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
    /// Lower case, without port and without the final dot.
    [[nodiscard]] static std::string normalizeHost(std::string_view hostHeader);

    /// The route with the longest prefix that begins the path; nullptr when there is none. A query is cut off.
    std::shared_ptr<const RouteEntry> find(std::string_view hostHeader, std::string_view path) const;
    std::shared_ptr<const RouteEntry> findRoute(std::string_view name) const;
    /// nullptr when there is none of that name.
    std::shared_ptr<const ServiceEntry> findService(std::string_view name) const;

    const StringMap<std::shared_ptr<const RouteEntry>>& routes() const { return routes_; }
    const StringMap<std::shared_ptr<const ServiceEntry>>& services() const { return services_; }
    const configuration::Limits& limits() const { return limits_; }
    const std::set<std::string, std::less<>>& evacuatedZones() const { return evacuatedZones_; }
    /// Null where the configuration has no tenants: requests need no key.
    const std::shared_ptr<const tenants::TenantDirectory>& tenants() const { return tenants_; }
    bool evacuated(std::string_view zone) const { return evacuatedZones_.contains(zone); }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] Position position() const { return position_; }
    /// Of the cluster that the table is from; 0: not known.
    [[nodiscard]] std::uint64_t clusterId() const { return clusterId_; }
    /// Values of the update that could not be read and were left out; 0 unless control runs another version.
    [[nodiscard]] std::size_t unreadableCount() const { return unreadable_; }

    [[nodiscard]] static std::shared_ptr<const RoutingTable> fromTable(const Table& table, Position position);
    /// `base` with the update applied. Entries whose value did not change are shared with it. The caller sees to
    /// the order of updates.
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
