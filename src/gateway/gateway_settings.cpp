#include "gateway/gateway_settings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "backend/pool.hpp"
#include "net/connection_budget.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

namespace {

constexpr Millis kMillisPerSecond = 1000;
constexpr Millis kPlatformPollPeriod = 2500;  // a gateway that polls the platform itself does so slowly
constexpr double kMaxDirectoryTtlS = 2;
constexpr std::size_t kMaxReadinessConnections = 16;
constexpr std::size_t kMaxDirectoryConnections = 256;
constexpr std::size_t kDirectoryPart = 8;          // at most one in so many descriptors
constexpr std::size_t kReservedDescriptors = 232;  // 200 are the platform's; listeners, control, platform

}  // namespace

asio::ip::tcp::endpoint listenEndpoint(const std::string& address, const char* key) {
    const auto endpoint = backend::readEndpoint(address);
    if (!endpoint)
        throw std::runtime_error(
            fmt::format("listen_addresses.{} must be ADDRESS:PORT, not {}", key, address));
    return *endpoint;
}

dispatch::Settings dispatchSettings(const settings::ProcessSettings& settings, const Policy& policy) {
    dispatch::Settings out;
    out.mechanisms = policy.mechanisms;
    out.prices = policy.prices;
    out.region = settings.region;
    out.zone = settings.zone;
    out.retryBudgetRatio = settings.timingBounds.retryBudgetRatio;
    out.retryWindow = settings.timingBounds.retryWindowS * 1000;
    out.retryBudgetSlack = settings.timingBounds.retryBudgetSlack;
    out.warmupOvershoot = settings.timingBounds.warmupOvershoot;
    out.warmupSlack = settings.timingBounds.warmupSlack;
    return out;
}

host_discovery::Poller::Settings pollerSettings(const settings::ProcessSettings& settings) {
    host_discovery::Poller::Settings out;
    out.address = settings.cloudApi.address;
    out.reader.period = kPlatformPollPeriod;
    return out;
}

DrainSettings drainSettings(const settings::ProcessSettings& settings) {
    DrainSettings out;
    out.grace = settings.timingBounds.graceS * 1000;
    out.directoryTtl = directoryTtlSeconds(settings) * 1000;
    out.seedLag = settings.timingBounds.seedLagS * 1000;
    return out;
}

double directoryTtlSeconds(const settings::ProcessSettings& settings) {
    return std::min(settings.timingBounds.ttlMaxS, kMaxDirectoryTtlS);
}

std::vector<std::string> controlAddresses(const settings::ProcessSettings& settings) {
    std::vector<std::string> addresses;
    for (const std::string& seed : settings.seedNodes) {
        const auto address = upstream::HostAddress::parse(seed);
        if (!address) continue;
        addresses.push_back(fmt::format("{}:{}", address.value().ip, settings.internalPortRange.first));
    }
    return addresses;
}

ListenerLimits listenerLimits(const settings::ProcessSettings& settings) {
    const auto open = static_cast<std::size_t>(std::max<std::int64_t>(settings.limits.maxOpenFiles, 0));
    const std::size_t free = std::max(open, 2 * kReservedDescriptors) - kReservedDescriptors;
    ListenerLimits limits;
    limits.readiness = kMaxReadinessConnections;
    limits.directory = std::min(kMaxDirectoryConnections, free / kDirectoryPart);
    const std::size_t others = limits.total();
    const std::size_t byMemory = net::ConnectionMemory::of(settings.limits.memoryMb).mostConnections();
    limits.front = std::min((free - others) / 2, std::max(byMemory, 2 * others) - others);
    return limits;
}

Millis usageWindow(const settings::ProcessSettings& settings) {
    const bool isWanted = settings.assigned(settings::kReportsUsage);
    return isWanted ? settings.timingBounds.usageWindowS * kMillisPerSecond : 0;
}

}  // namespace beechpoint::gateway
