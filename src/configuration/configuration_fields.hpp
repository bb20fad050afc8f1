/// The members of the configuration's items: their list, for Boost.Hana, which gives the names on the wire, and the rules on
/// single members. What the protocol does not call invalid is not rejected here, beyond types that cannot be understood.
#pragma once

#include "configuration/configuration.hpp"
#include "settings/described.hpp"

BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::WeightedBackend, backend, weight);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::Route, name, hostname, pathPrefix, type, timeoutMs,
                        targetLatencyMs, priorityClass, backend, trafficSplit, maxAttempts, sessionAffinity,
                        resumable, gapAimMs, allowedRegions, public_);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::ModelName, name);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::InferenceEngine, capacity, cacheTokens, kvTokenBytes,
                        bandwidthMbps, stride, models);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::Scaling, minCount, maxCount, bootS);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::Service, name, healthCheckPath, maxConnections, protocol,
                        warmupS, warmupPerS, inferenceEngine, scaling);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::Tenant, name, apiKeys, priorityClass, allowedRegions);
BOOST_HANA_ADAPT_STRUCT(beechpoint::configuration::Limits, maxHeaderBytes, maxBodyBytes, headerTimeoutMs,
                        idleTimeoutMs);

namespace beechpoint::configuration {

/// Names become keys of the table, which are of bounded length.
inline constexpr std::size_t kMaxNameBytes = 256;

}  // namespace beechpoint::configuration

namespace beechpoint::settings {

template <>
inline constexpr std::array kFieldRules<configuration::WeightedBackend> = {
    FieldRule{.field = "backend", .required = true, .form = Form::notEmpty},
    FieldRule{.field = "weight", .least = 0},
};

template <>
inline constexpr std::array kFieldRules<configuration::Route> = {
    FieldRule{
        .field = "name", .required = true, .form = Form::notEmpty, .longest = configuration::kMaxNameBytes},
    FieldRule{.field = "hostname", .required = true, .form = Form::notEmpty},
    FieldRule{.field = "path_prefix", .required = true, .form = Form::slashed},
    FieldRule{.field = "timeout_ms", .least = 0, .aboveLeast = true},
};

template <>
inline constexpr std::array kFieldRules<configuration::Service> = {
    FieldRule{
        .field = "name", .required = true, .form = Form::notEmpty, .longest = configuration::kMaxNameBytes},
};

template <>
inline constexpr std::array kFieldRules<configuration::Tenant> = {
    FieldRule{.field = "name",
              .required = true,
              .form = Form::headerValue,
              .longest = configuration::kMaxNameBytes},
};

}  // namespace beechpoint::settings
