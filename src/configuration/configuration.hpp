/// The operator's configuration as typed items, and the rules on one item. An item is stored as the JSON that was sent
/// (compact), so that members unknown here survive; the structs are what this program understands of it. Numbers may be
/// integers or have a fraction; null and missing members leave the default.
///
/// The members' names are the wire's (configuration_fields.hpp). Values and pure functions; to be used from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"

namespace beechpoint::configuration {

enum class RouteType { idempotent, nonIdempotent, streaming };

struct WeightedBackend {
    std::string backend;  ///< name of a service
    double weight = 0;
    bool operator==(const WeightedBackend&) const = default;
};

struct Route {
    std::string name;
    std::string hostname;
    std::string pathPrefix;                     ///< begins and ends with a slash
    RouteType type = RouteType::nonIdempotent;  ///< also for unknown types: nothing is sent twice then
    double timeoutMs = 0;                       ///< 0: not stated
    double targetLatencyMs = 0;                 ///< 0: not stated
    int priorityClass = 0;                      ///< 0 is the most urgent
    std::string backend;                        ///< empty when the split is used
    std::vector<WeightedBackend> trafficSplit;  ///< used in place of `backend` when it is not empty
    int maxAttempts = 1;
    bool sessionAffinity = false;
    bool resumable = false;
    double gapAimMs = 0;  ///< target of the longest time between two events of a stream; 0: not stated
    std::vector<std::string> allowedRegions;  ///< empty: all
    /// Requests need no API key. The word on the wire is a keyword here.
    bool public_ = false;  // NOLINT(readability-identifier-naming)
    bool operator==(const Route&) const = default;

    /// May run twice without harm (RFC 9110, 9.2.2): idempotent, or a stream that another backend may resume.
    bool idempotent() const {
        return type == RouteType::idempotent || (type == RouteType::streaming && resumable);
    }
};

struct ModelName {
    std::string name;
    bool operator==(const ModelName&) const = default;
};

struct InferenceEngine {
    double capacity = 0;
    double cacheTokens = 0;
    double kvTokenBytes = 0;
    double bandwidthMbps = 0;
    double stride = 1;  ///< tokens in one event of a stream
    std::vector<ModelName> models;
    bool operator==(const InferenceEngine&) const = default;
};

/// How many hosts the platform may run for a service, in each zone.
struct Scaling {
    int minCount = 0;
    int maxCount = 0;
    double bootS = 0;  ///< from an order until a new host serves, in seconds
    bool operator==(const Scaling&) const = default;
};

struct Service {
    std::string name;
    std::string healthCheckPath = "/health";
    double maxConnections = 0;  ///< of one host, from all callers; 0: not stated
    std::string protocol;
    double warmupS = 0;
    double warmupPerS = 0;
    std::optional<InferenceEngine> inferenceEngine;
    std::optional<Scaling> scaling;  ///< nothing: the number of its hosts is not ours to order
    bool operator==(const Service&) const = default;
};

/// Somebody whose requests are counted and kept apart, known by API keys.
struct Tenant {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> priorityClass;         ///< in place of the route's
    std::vector<std::string> allowedRegions;  ///< bind beside the route's; empty: all
    bool operator==(const Tenant&) const = default;
};

struct Limits {
    double maxHeaderBytes = 16384;
    double maxBodyBytes = 4194304;
    double headerTimeoutMs = 3000;
    double idleTimeoutMs = 15000;
    bool operator==(const Limits&) const = default;
};

/// One item from its JSON text. Errors are ErrorKind::invalid with a JSON pointer into the item as location. Rules
/// between items (services that are named, host and prefix shared) are not checked.
[[nodiscard]] Result<Route> parseRoute(std::string_view json);
[[nodiscard]] Result<Service> parseService(std::string_view json);
[[nodiscard]] Result<Limits> parseLimits(std::string_view json);

/// The tenants of a configuration, in order, and how many items of the list can't be read.
struct TenantList {
    std::vector<Tenant> tenants;
    std::size_t unreadable = 0;
};

/// The value of the configuration's member "tenants". Nothing where it is no list.
[[nodiscard]] std::optional<TenantList> parseTenants(std::string_view json);

}  // namespace beechpoint::configuration
