/// The fields of the settings file: their list, for Boost.Hana, which gives the names in the file, and the rules on single
/// fields. Rules between fields are in process_settings.cpp.
#pragma once

#include "settings/described.hpp"
#include "settings/process_settings.hpp"

BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::PortRange, first, last);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::ListenAddresses, front, readiness, control, directory);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::ResourceLimits, cpuShare, cpuCores, memoryMb, maxOpenFiles,
                        bandwidthMbps, diskMb);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::FaultTolerance, machines, zones, regions);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::TimingBounds, seedLagS, addressReuseS, contactMs, ackMs,
                        catchUpS, drainMs, graceS, lossSlackMs, configApplyMs, rollbackSlackMs, maxStretchMs,
                        retryBudgetRatio, retryWindowS, retryBudgetSlack, warmupOvershoot, warmupSlack,
                        evacuateMs, recoveryS, passMs, againS, ttlMaxS, fencing, leaseMs, usageWindowS,
                        usageLateS);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::CloudApi, address, ratePerS, assignedDuties, maxLagMs,
                        dutyPerS);
BOOST_HANA_ADAPT_STRUCT(beechpoint::settings::ProcessSettings, nodeName, nodeRole, machineClass, servedRoles,
                        ipAddress, advertisedIpAddress, zone, region, internalPortRange, seedNodes, bootstrap,
                        countsAsLoss, dataDirectory, discoverySource, entryPoint, heartbeatMs, guarantees,
                        zones, listenAddresses, limits, faultTolerance, timingBounds, cloudApi);

namespace beechpoint::settings {

inline constexpr double kHighestPort = 65535;

template <>
inline constexpr bool kWrittenAsList<PortRange> = true;

template <>
inline constexpr std::array kFieldRules<PortRange> = {
    FieldRule{.field = "first", .least = 1, .most = kHighestPort},
    FieldRule{.field = "last", .least = 1, .most = kHighestPort},
};

template <>
inline constexpr std::array kFieldRules<ListenAddresses> = {
    FieldRule{.field = "front", .form = Form::ipv4Endpoint},
    FieldRule{.field = "readiness", .form = Form::ipv4Endpoint},
    FieldRule{.field = "control", .form = Form::ipv4Endpoint},
    FieldRule{.field = "directory", .form = Form::ipv4Endpoint},
};

template <>
inline constexpr std::array kFieldRules<ResourceLimits> = {
    FieldRule{.field = "cpu_share", .least = 0, .aboveLeast = true},
    FieldRule{.field = "cpu_cores", .least = 0, .aboveLeast = true},
    FieldRule{.field = "memory_mb", .least = 1},
    FieldRule{.field = "max_open_files", .least = 1},
    FieldRule{.field = "bandwidth_mbps", .least = 0},
    FieldRule{.field = "disk_mb", .least = 0},
};

template <>
inline constexpr std::array kFieldRules<FaultTolerance> = {
    FieldRule{.field = "machines", .required = true, .least = 0},
    FieldRule{.field = "zones", .least = 0},
    FieldRule{.field = "regions", .least = 0},
};

template <>
inline constexpr std::array kFieldRules<TimingBounds> = {
    FieldRule{.field = "seed_lag_s", .least = 0},
    FieldRule{.field = "address_reuse_s", .least = 0},
    FieldRule{.field = "contact_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "ack_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "catch_up_s", .least = 0},
    FieldRule{.field = "drain_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "grace_s", .least = 0, .aboveLeast = true},
    FieldRule{.field = "loss_slack_ms", .least = 0},
    FieldRule{.field = "config_apply_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "rollback_slack_ms", .least = 0},
    FieldRule{.field = "max_stretch_ms", .least = 0},
    FieldRule{.field = "retry_budget_ratio", .least = 0},
    FieldRule{.field = "retry_window_s", .least = 0, .aboveLeast = true},
    FieldRule{.field = "retry_budget_slack", .least = 0},
    FieldRule{.field = "warmup_overshoot", .least = 0},
    FieldRule{.field = "warmup_slack", .least = 0},
    FieldRule{.field = "evacuate_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "recovery_s", .least = 0},
    FieldRule{.field = "pass_ms", .least = 0},
    FieldRule{.field = "again_s", .least = 0, .tolerant = true},
    FieldRule{.field = "ttl_max_s", .least = 0},
    FieldRule{.field = "lease_ms", .least = 0},
    FieldRule{.field = "usage_window_s", .least = 0},
    FieldRule{.field = "usage_late_s", .least = 0},
};

template <>
inline constexpr std::array kFieldRules<CloudApi> = {
    FieldRule{.field = "address", .required = true, .form = Form::ipv4Endpoint},
    FieldRule{.field = "rate_per_s", .least = 0, .aboveLeast = true},
    FieldRule{.field = "assigned_duties", .tolerant = true},
    FieldRule{.field = "max_lag_ms", .least = 0},
    FieldRule{.field = "duty_per_s", .least = 0},
};

template <>
inline constexpr std::array kFieldRules<ProcessSettings> = {
    FieldRule{.field = "node_name", .required = true, .form = Form::notEmpty},
    FieldRule{.field = "served_roles", .required = true},
    FieldRule{.field = "ip_address", .required = true, .form = Form::ipv4Address},
    FieldRule{.field = "advertised_ip_address", .form = Form::ipv4Address},
    FieldRule{.field = "zone", .required = true, .form = Form::notEmpty},
    FieldRule{.field = "region", .required = true, .form = Form::notEmpty},
    FieldRule{.field = "internal_port_range", .required = true},
    FieldRule{.field = "seed_nodes", .required = true, .form = Form::ipv4Endpoint},
    FieldRule{.field = "heartbeat_ms", .least = 0, .aboveLeast = true},
    FieldRule{.field = "guarantees", .tolerant = true},
    FieldRule{.field = "listen_addresses", .required = true},
    FieldRule{.field = "fault_tolerance", .required = true},
    FieldRule{.field = "cloud_api", .required = true},
};

}  // namespace beechpoint::settings
