// Makes one routing table out of another by changed values. Private to the library: what is being built is shared
// with nobody until finish().
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "routing/routing_table.hpp"

namespace beechpoint::routing {

class RoutingTableBuilder {
public:
    // Begins with what `base` has; its entries are used again where a value is the same.
    static RoutingTableBuilder changing(const RoutingTable& base);
    // Begins empty.
    static RoutingTableBuilder replacing(const RoutingTable& base);

    void set(std::string_view key, std::string_view value);
    void remove(std::string_view key);
    std::shared_ptr<const RoutingTable> finish(Position position);

private:
    explicit RoutingTableBuilder(const RoutingTable& base) : base_(base) {}

    void setRoute(std::string_view name, std::string_view value);
    void setService(std::string_view name, std::string_view value);
    void removeRoute(std::string_view name);
    void place(std::shared_ptr<const RouteEntry> entry);
    void displace(const RouteEntry& entry);
    HostRoutes& writableHost(const std::string& host);
    void settleHosts();

    const RoutingTable& base_;
    std::shared_ptr<RoutingTable> made_ = std::make_shared<RoutingTable>();
    StringMap<std::shared_ptr<HostRoutes>> touchedHosts_;
};

}  // namespace beechpoint::routing
