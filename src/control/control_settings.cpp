#include "control/control_settings.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace beechpoint::control {
namespace {

constexpr double kLeaseHeartbeats = 2.5;  // a lease in heartbeats of the settings
constexpr Millis kShortestLease = 2500;
constexpr Millis kLongestLease = 5000;
constexpr double kMaxTtlSeconds = 2;
constexpr double kMillisPerSecond = 1000;

}  // namespace

std::string internalAddressOf(const settings::ProcessSettings& settings) {
    return fmt::format("{}:{}", settings.ipAddress, settings.internalPortRange.first);
}

leases::LeaseTable::Settings leaseSettingsOf(const settings::ProcessSettings& settings) {
    leases::LeaseTable::Settings leases;
    leases.leaseMs = std::clamp(kLeaseHeartbeats * settings.heartbeatMs, kShortestLease, kLongestLease);
    leases.peakWindowMs = settings.timingBounds.retryWindowS * kMillisPerSecond;
    return leases;
}

double directoryTtlSecondsOf(const settings::ProcessSettings& settings) {
    return std::min(settings.timingBounds.ttlMaxS, kMaxTtlSeconds);
}

GatewayService::Settings gatewayServiceSettingsOf(const settings::ProcessSettings& settings,
                                                  const host_discovery::ListReader::Settings& hostReading,
                                                  std::uint64_t seed) {
    GatewayService::Settings service;
    service.leases = leaseSettingsOf(settings);
    service.poller.address = settings.cloudApi.address;
    service.poller.reader = hostReading;
    service.seed = seed;
    return service;
}

DutyService::Settings dutySettingsOf(const settings::ProcessSettings& settings, std::uint64_t seed) {
    const settings::TimingBounds& bounds = settings.timingBounds;
    DutyService::Settings duties;
    duties.platformAddress = settings.cloudApi.address;
    duties.callsPerSecond = settings.cloudApi.dutyPerS;
    duties.state.member = settings.nodeName;
    duties.state.takeoverDelay = bounds.leaseMs;
    duties.state.seed = seed;
    if (settings.assigned(settings::kReportsUsage) && settings.cloudApi.dutyPerS > 0) {
        duties.state.usageWindow = bounds.usageWindowS * kMillisPerSecond;
        duties.state.usageReportDeadline = bounds.usageLateS * kMillisPerSecond;
    }
    return duties;
}

replica::Settings replicaSettingsOf(const settings::ProcessSettings& settings) {
    replica::Settings replica;
    replica.self.name = settings.nodeName;
    replica.self.internalAddress = settings.advertised(internalAddressOf(settings));
    replica.self.controlAddress = settings.advertised(settings.listenAddresses.control);
    replica.self.zone = settings.zone;
    replica.self.countsAsLoss = settings.countsAsLoss;
    replica.seeds = settings.seedNodes;
    replica.bootstrap = settings.bootstrap;
    replica.tolerance.machines = static_cast<std::size_t>(std::max(0, settings.faultTolerance.machines));
    replica.tolerance.zones = static_cast<std::size_t>(std::max(0, settings.faultTolerance.zones));
    return replica;
}

}  // namespace beechpoint::control
