#include "routing/routing_table_builder.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "configuration/host_name.hpp"
#include "configuration/stored_item.hpp"

namespace beechpoint::routing {
namespace {

using configuration::kEvacuatedPrefix;
using configuration::kLimitsKey;
using configuration::kRoutePrefix;
using configuration::kServicePrefix;
using configuration::kVersionKey;

Digest digestOf(std::string_view value) {
    const XXH128_hash_t hash = XXH3_128bits(value.data(), value.size());
    return {hash.high64, hash.low64};
}

std::vector<BackendWeight> weightsOf(const configuration::Route& route) {
    if (route.trafficSplit.empty()) return {{route.backend, 1}};
    double sum = 0;
    for (const configuration::WeightedBackend& part : route.trafficSplit) sum += part.weight;
    std::vector<BackendWeight> weights;
    double upTo = 0;
    for (const configuration::WeightedBackend& part : route.trafficSplit) {
        if (part.weight <= 0) continue;
        upTo += part.weight;
        weights.push_back({part.backend, upTo / sum});
    }
    if (!weights.empty()) weights.back().upTo = 1;
    return weights;
}

std::shared_ptr<const RouteEntry> readRouteEntry(std::string_view value, const Digest& digest) {
    const auto stored = configuration::parseStoredItem(value);
    if (!stored) return nullptr;
    Result<configuration::Route> route = configuration::parseRoute(stored->json);
    if (!route) return nullptr;
    auto entry = std::make_shared<RouteEntry>();
    entry->route = std::move(route.value());
    entry->host = configuration::comparableHost(entry->route.hostname);
    entry->weights = weightsOf(entry->route);
    entry->digest = digest;
    return entry;
}

std::shared_ptr<const ServiceEntry> readServiceEntry(std::string_view value, const Digest& digest) {
    const auto stored = configuration::parseStoredItem(value);
    if (!stored) return nullptr;
    Result<configuration::Service> service = configuration::parseService(stored->json);
    if (!service) return nullptr;
    return std::make_shared<const ServiceEntry>(ServiceEntry{std::move(service.value()), digest});
}

template <class Entry>
std::shared_ptr<const Entry> entryOf(const StringMap<std::shared_ptr<const Entry>>& entries,
                                     std::string_view name) {
    const auto found = entries.find(name);
    return found == entries.end() ? nullptr : found->second;
}

std::uint64_t readRevision(std::string_view digits) {
    std::uint64_t revision = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), revision);
    return revision;
}

}  // namespace

RoutingTableBuilder RoutingTableBuilder::changing(const RoutingTable& base) {
    RoutingTableBuilder builder{base};
    *builder.made_ = base;
    builder.made_->unreadable_ = 0;
    return builder;
}

RoutingTableBuilder RoutingTableBuilder::replacing(const RoutingTable& base) {
    return RoutingTableBuilder{base};
}

void RoutingTableBuilder::set(std::string_view key, std::string_view value) {
    if (key.starts_with(kRoutePrefix)) {
        setRoute(key.substr(kRoutePrefix.size()), value);
    } else if (key.starts_with(kServicePrefix)) {
        setService(key.substr(kServicePrefix.size()), value);
    } else if (key.starts_with(kEvacuatedPrefix)) {
        made_->evacuatedZones_.emplace(key.substr(kEvacuatedPrefix.size()));
    } else if (key == kVersionKey) {
        made_->revision_ = readRevision(value);
    } else if (key == kLimitsKey) {
        if (const auto limits = configuration::parseLimits(value))
            made_->limits_ = limits.value();
        else
            ++made_->unreadable_;
    }
}

void RoutingTableBuilder::remove(std::string_view key) {
    if (key.starts_with(kRoutePrefix)) {
        removeRoute(key.substr(kRoutePrefix.size()));
    } else if (key.starts_with(kServicePrefix)) {
        made_->services_.erase(std::string{key.substr(kServicePrefix.size())});
    } else if (key.starts_with(kEvacuatedPrefix)) {
        made_->evacuatedZones_.erase(std::string{key.substr(kEvacuatedPrefix.size())});
    } else if (key == kLimitsKey) {
        made_->limits_ = {};
    }
}

void RoutingTableBuilder::setRoute(std::string_view name, std::string_view value) {
    const Digest digest = digestOf(value);
    std::shared_ptr<const RouteEntry> entry = entryOf(base_.routes_, name);
    if (!entry || entry->digest != digest) entry = readRouteEntry(value, digest);
    removeRoute(name);
    if (!entry) {
        ++made_->unreadable_;
        return;
    }
    made_->routes_.emplace(name, entry);
    place(std::move(entry));
}

void RoutingTableBuilder::removeRoute(std::string_view name) {
    const auto found = made_->routes_.find(name);
    if (found == made_->routes_.end()) return;
    displace(*found->second);
    made_->routes_.erase(found);
}

void RoutingTableBuilder::setService(std::string_view name, std::string_view value) {
    const Digest digest = digestOf(value);
    std::shared_ptr<const ServiceEntry> entry = entryOf(base_.services_, name);
    if (!entry || entry->digest != digest) entry = readServiceEntry(value, digest);
    if (entry) {
        made_->services_.insert_or_assign(std::string{name}, std::move(entry));
        return;
    }
    ++made_->unreadable_;
    made_->services_.erase(std::string{name});
}

void RoutingTableBuilder::place(std::shared_ptr<const RouteEntry> entry) {
    HostRoutes& host = writableHost(entry->host);
    std::string prefix = entry->route.pathPrefix;
    host.byPrefix.insert_or_assign(std::move(prefix), std::move(entry));
}

// A route that another one of the same batch has taken the place of is not there any more.
void RoutingTableBuilder::displace(const RouteEntry& entry) {
    HostRoutes& host = writableHost(entry.host);
    const auto found = host.byPrefix.find(entry.route.pathPrefix);
    if (found != host.byPrefix.end() && found->second.get() == &entry) host.byPrefix.erase(found);
}

HostRoutes& RoutingTableBuilder::writableHost(const std::string& host) {
    std::shared_ptr<HostRoutes>& touched = touchedHosts_[host];
    if (!touched) {
        const auto present = made_->hosts_.find(host);
        touched = present == made_->hosts_.end() ? std::make_shared<HostRoutes>()
                                                 : std::make_shared<HostRoutes>(*present->second);
    }
    return *touched;
}

void RoutingTableBuilder::settleHosts() {
    for (auto& [name, host] : touchedHosts_) {
        host->longestPrefix = 0;
        for (const auto& [prefix, entry] : host->byPrefix)
            host->longestPrefix = std::max(host->longestPrefix, prefix.size());
        if (host->byPrefix.empty())
            made_->hosts_.erase(name);
        else
            made_->hosts_.insert_or_assign(name, std::move(host));
    }
    touchedHosts_.clear();
}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::finish(Position position) {
    settleHosts();
    made_->position_ = position;
    return std::move(made_);
}

}  // namespace beechpoint::routing
