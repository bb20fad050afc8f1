#include "directory/directory.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "directory/percent_encoding.hpp"

namespace beechpoint::directory {
namespace {

enum class Distance { sameZone, sameRegion, otherRegion };

Distance distanceTo(const leases::Gateway& gateway, std::string_view zone, std::string_view region) {
    if (!zone.empty() && gateway.zone == zone) return Distance::sameZone;
    if (!region.empty() && gateway.region == region) return Distance::sameRegion;
    return Distance::otherRegion;
}

}  // namespace

bool isUsable(const leases::Gateway& gateway) {
    return gateway.ready && !gateway.draining && !gateway.frontAddress.empty();
}

std::vector<std::string> resolve(const std::vector<leases::Gateway>& gateways, std::string_view zone,
                                 std::string_view region) {
    std::vector<std::string> addresses;
    for (const Distance distance : {Distance::sameZone, Distance::sameRegion, Distance::otherRegion}) {
        for (const leases::Gateway& gateway : gateways) {
            if (!isUsable(gateway) || distanceTo(gateway, zone, region) != distance) continue;
            if (addresses.size() < kMaxResolved) addresses.push_back(gateway.frontAddress);
        }
        const std::size_t enough = distance == Distance::sameZone ? kEnoughNear : 1;
        if (addresses.size() >= enough) break;
    }
    return addresses;
}

std::string queryValue(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const auto equals = parameter.find('=');
        if (equals == std::string_view::npos || parameter.substr(0, equals) != name) continue;
        return percentDecoded(parameter.substr(equals + 1)).value_or("");
    }
    return {};
}

std::string renderResolved(const std::vector<std::string>& addresses, double ttlSeconds) {
    return nlohmann::json{{"addresses", addresses}, {"ttl_s", ttlSeconds}}.dump();
}

}  // namespace beechpoint::directory
