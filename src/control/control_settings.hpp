/// Derives the settings of a control member's components from the process's settings. Pure functions; may be called from any thread.
#pragma once

#include <cstdint>
#include <string>

#include "control/duty_service.hpp"
#include "control/gateway_service.hpp"
#include "host_discovery/list_reader.hpp"
#include "leases/lease_table.hpp"
#include "replica/settings.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::control {

/// IP:PORT on which other members and gateways are served; the port is the first of the internal range.
[[nodiscard]] std::string internalAddressOf(const settings::ProcessSettings& settings);
/// Settings of the gateways' leases: two and a half configured heartbeats, between 2.5 s and 5 s.
[[nodiscard]] leases::LeaseTable::Settings leaseSettingsOf(const settings::ProcessSettings& settings);
/// Seconds for which clients may cache an answer of the directory: at most 2.
[[nodiscard]] double directoryTtlSecondsOf(const settings::ProcessSettings& settings);
/// `seed` must differ at each start of the process.
[[nodiscard]] GatewayService::Settings gatewayServiceSettingsOf(
    const settings::ProcessSettings& settings, const host_discovery::ListReader::Settings& hostReading,
    std::uint64_t seed);
/// `seed` must differ at each start of the process.
[[nodiscard]] DutyService::Settings dutySettingsOf(const settings::ProcessSettings& settings,
                                                   std::uint64_t seed);
[[nodiscard]] replica::Settings replicaSettingsOf(const settings::ProcessSettings& settings);

}  // namespace beechpoint::control
