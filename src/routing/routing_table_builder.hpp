/// Builds a routing table from another one and changed values. Private to the module: the table is shared with nobody until
/// finish(), which ends the builder's use.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "routing/routing_table.hpp"

namespace beechpoint::routing {

class RoutingTableBuilder {
public:
    /// Begins with the contents of `base`, which must outlive the builder.
    [[nodiscard]] static RoutingTableBuilder changing(const RoutingTable& base);
    /// Begins empty. Entries of `base` are shared where a value is the same; it must outlive the builder.
    [[nodiscard]] static RoutingTableBuilder replacing(const RoutingTable& base);

    /// A value that can't be read is counted and leaves its entry out. Keys that are not known are ignored.
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
    StringMap<std::shared_ptr<HostRoutes>> changedHosts_;  // copies of the table's, until finish()
};

}  // namespace beechpoint::routing
