#include "routing/routing_table_builder.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "configuration/cluster_identity.hpp"
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
    for (const configuration::WeightedBackend& backend : route.trafficSplit) sum += backend.weight;
    std::vector<BackendWeight> weights;
    double cumulativeWeight = 0;
    for (const configuration::WeightedBackend& backend : route.trafficSplit) {
        if (backend.weight <= 0) continue;
        cumulativeWeight += backend.weight;
        weights.push_back({backend.backend, cumulativeWeight / sum});
    }
    if (!weights.empty()) weights.back().cumulativeWeight = 1;
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

std::uint64_t readRevision(std::string_view digits) {
    std::uint64_t revision = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), revision);
    return revision;
}

std::size_t longestPrefixOf(const HostRoutes& host) {
    std::size_t longest = 0;
    for (const auto& [prefix, entry] : host.byPrefix) longest = std::max(longest, prefix.size());
    return longest;
}

}  // namespace

RoutingTableBuilder RoutingTableBuilder::changing(const RoutingTable& base) {
    RoutingTableBuilder builder{base};
    *builder.table_ = base;
    builder.table_->unreadable_ = 0;
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
        table_->evacuatedZones_.emplace(key.substr(kEvacuatedPrefix.size()));
    } else if (key == configuration::kTenantsKey) {
        setTenants(value);
    } else if (key == kVersionKey) {
        table_->revision_ = readRevision(value);
    } else if (key == configuration::kClusterKey) {
        table_->clusterId_ = configuration::parseClusterId(value);
    } else if (key == kLimitsKey) {
        if (const auto limits = configuration::parseLimits(value))
            table_->limits_ = limits.value();
        else
            ++table_->unreadable_;
    }
}

void RoutingTableBuilder::remove(std::string_view key) {
    if (key.starts_with(kRoutePrefix)) {
        removeRoute(key.substr(kRoutePrefix.size()));
    } else if (key.starts_with(kServicePrefix)) {
        table_->services_.erase(std::string{key.substr(kServicePrefix.size())});
    } else if (key.starts_with(kEvacuatedPrefix)) {
        table_->evacuatedZones_.erase(std::string{key.substr(kEvacuatedPrefix.size())});
    } else if (key == configuration::kTenantsKey) {
        table_->tenants_ = nullptr;
    } else if (key == kLimitsKey) {
        table_->limits_ = {};
    }
}

void RoutingTableBuilder::setRoute(std::string_view name, std::string_view value) {
    const Digest digest = digestOf(value);
    std::shared_ptr<const RouteEntry> entry = findEntry(base_.routes_, name);
    if (!entry || entry->digest != digest) entry = readRouteEntry(value, digest);
    removeRoute(name);
    if (!entry) {
        ++table_->unreadable_;
        return;
    }
    table_->routes_.emplace(name, entry);
    addToHost(std::move(entry));
}

void RoutingTableBuilder::removeRoute(std::string_view name) {
    const auto found = table_->routes_.find(name);
    if (found == table_->routes_.end()) return;
    removeFromHost(*found->second);
    table_->routes_.erase(found);
}

void RoutingTableBuilder::setService(std::string_view name, std::string_view value) {
    const Digest digest = digestOf(value);
    std::shared_ptr<const ServiceEntry> entry = findEntry(base_.services_, name);
    if (!entry || entry->digest != digest) entry = readServiceEntry(value, digest);
    if (entry) {
        table_->services_.insert_or_assign(std::string{name}, std::move(entry));
        return;
    }
    ++table_->unreadable_;
    table_->services_.erase(std::string{name});
}

// If the list cannot be parsed, no tenant is known and all requests are rejected: without a list they would
// need no key.
void RoutingTableBuilder::setTenants(std::string_view value) {
    const auto list = configuration::parseTenants(value);
    table_->unreadable_ += list ? list->unreadable : 1;
    table_->tenants_ = std::make_shared<const tenants::TenantDirectory>(
        list ? list->tenants : std::vector<configuration::Tenant>{}, base_.tenants_.get(),
        list && list->unreadable == 0);
}

void RoutingTableBuilder::addToHost(std::shared_ptr<const RouteEntry> entry) {
    HostRoutes& host = writableHost(entry->host);
    std::string prefix = entry->route.pathPrefix;
    host.byPrefix.insert_or_assign(std::move(prefix), std::move(entry));
}

// The entry may already have been replaced by another route with the same prefix in the same batch.
void RoutingTableBuilder::removeFromHost(const RouteEntry& entry) {
    HostRoutes& host = writableHost(entry.host);
    const auto found = host.byPrefix.find(entry.route.pathPrefix);
    if (found != host.byPrefix.end() && found->second.get() == &entry) host.byPrefix.erase(found);
}

HostRoutes& RoutingTableBuilder::writableHost(const std::string& host) {
    std::shared_ptr<HostRoutes>& changed = changedHosts_[host];
    if (!changed) {
        const auto present = table_->hosts_.find(host);
        changed = std::make_shared<HostRoutes>();
        if (present != table_->hosts_.end()) *changed = *present->second;
    }
    return *changed;
}

void RoutingTableBuilder::publishHosts() {
    for (auto& [name, host] : changedHosts_) {
        host->longestPrefix = longestPrefixOf(*host);
        if (host->byPrefix.empty())
            table_->hosts_.erase(name);
        else
            table_->hosts_.insert_or_assign(name, std::move(host));
    }
    changedHosts_.clear();
}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::finish(Position position) {
    publishHosts();
    table_->position_ = position;
    return std::move(table_);
}

}  // namespace beechpoint::routing
