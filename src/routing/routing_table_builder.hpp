/// Builds a routing table from a base table and changed values. Private to the module. The new table is not
/// shared until finish(), after which the builder must not be used.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "routing/routing_table.hpp"

namespace beechpoint::routing {

class RoutingTableBuilder {
public:
    /// Starts with the contents of `base`, which must outlive the builder.
    [[nodiscard]] static RoutingTableBuilder changing(const RoutingTable& base);
    /// Starts empty. Entries with unchanged values are shared with `base`, which must outlive the builder.
    [[nodiscard]] static RoutingTableBuilder replacing(const RoutingTable& base);

    /// A value that cannot be parsed is counted, and its entry is left out. Unknown keys are ignored.
    void set(std::string_view key, std::string_view value);
    void remove(std::string_view key);
    [[nodiscard]] std::shared_ptr<const RoutingTable> finish(Position position);

private:
    explicit RoutingTableBuilder(const RoutingTable& base) : base_(base) {}

    void setRoute(std::string_view name, std::string_view value);
    void setService(std::string_view name, std::string_view value);
    void setTenants(std::string_view value);
    void removeRoute(std::string_view name);
    void addToHost(std::shared_ptr<const RouteEntry> entry);
    void removeFromHost(const RouteEntry& entry);
    HostRoutes& writableHost(const std::string& host);
    void publishHosts();

    const RoutingTable& base_;
    std::shared_ptr<RoutingTable> table_ = std::make_shared<RoutingTable>();
    StringMap<std::shared_ptr<HostRoutes>> changedHosts_;  // copies of the table's entries, until finish()
};

}  // namespace beechpoint::routing
