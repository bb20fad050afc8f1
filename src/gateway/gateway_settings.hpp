/// What a gateway's parts need of the settings file, translated for each part. Pure functions.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "gateway/drain_timeline.hpp"
#include "host_discovery/poller.hpp"
#include "settings/process_settings.hpp"

namespace beechpoint::gateway {

/// What an operator may set of the decisions beside the settings file.
struct Policy {
    dispatch::Mechanisms mechanisms;
    dispatch::Prices prices;
};

/// The listen address `address` (ADDRESS:PORT), the value of `listen_addresses.<key>`.
/// Throws std::runtime_error where it can't be read: the process can't start then.
[[nodiscard]] asio::ip::tcp::endpoint listenEndpoint(const std::string& address, const char* key);

[[nodiscard]] dispatch::Settings dispatchSettings(const settings::ProcessSettings& settings,
                                                  const Policy& policy);
[[nodiscard]] host_discovery::Poller::Settings pollerSettings(const settings::ProcessSettings& settings);
[[nodiscard]] DrainSettings drainSettings(const settings::ProcessSettings& settings);

/// Time to live of the directory's answers, in seconds.
[[nodiscard]] double directoryTtlSeconds(const settings::ProcessSettings& settings);

/// Where the seed nodes listen for gateways (IP:PORT): the first internal port. Seeds that can't be read are left out.
[[nodiscard]] std::vector<std::string> controlAddresses(const settings::ProcessSettings& settings);

/// The most connections of each listener. Together, with as many to hosts as to clients of the front, they fit into the limits of open
/// files and of memory.
struct ListenerLimits {
    std::size_t front = 0;
    std::size_t readiness = 0;
    std::size_t directory = 0;

    [[nodiscard]] std::size_t total() const { return front + readiness + directory; }
};
[[nodiscard]] ListenerLimits listenerLimits(const settings::ProcessSettings& settings);

/// Length of a window of usage reports in milliseconds; 0: usage is not reported.
[[nodiscard]] Millis usageWindow(const settings::ProcessSettings& settings);

}  // namespace beechpoint::gateway
