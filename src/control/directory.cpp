#include "control/directory.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control/percent_encoding.hpp"

namespace beechpoint::control {
namespace {

enum Distance { sameZone = 0, sameRegion = 1, farAway = 2 };

Distance distanceTo(const leases::Gateway& gateway, std::string_view zone, std::string_view region) {
    if (!zone.empty() && gateway.zone == zone) return sameZone;
    if (!region.empty() && gateway.region == region) return sameRegion;
    return farAway;
}

}  // namespace

std::vector<std::string> resolve(const std::vector<leases::Gateway>& gateways, std::string_view zone,
                                 std::string_view region) {
    std::vector<std::string> addresses;
    for (const Distance distance : {sameZone, sameRegion, farAway}) {
        for (const leases::Gateway& gateway : gateways) {
            const bool usable = gateway.ready && !gateway.draining && !gateway.frontAddress.empty();
            if (!usable || distanceTo(gateway, zone, region) != distance) continue;
            if (addresses.size() < kMaxResolved) addresses.push_back(gateway.frontAddress);
        }
        const std::size_t enough = distance == sameZone ? kEnoughNear : 1;
        if (addresses.size() >= enough) break;
    }
    return addresses;
}

std::string queryValue(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view member = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), member.size() + 1));
        const auto equals = member.find('=');
        if (equals == std::string_view::npos || member.substr(0, equals) != name) continue;
        return percentDecoded(member.substr(equals + 1)).value_or("");
    }
    return {};
}

std::string renderResolved(const std::vector<std::string>& addresses, double ttlSeconds) {
    return nlohmann::json{{"addresses", addresses}, {"ttl_s", ttlSeconds}}.dump();
}

}  // namespace beechpoint::control
