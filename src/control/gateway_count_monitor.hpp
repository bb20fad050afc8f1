/// Decides when a changed count of live gateways is announced to all gateways immediately.
///
/// Gateways divide global budgets by this count, so an increase must reach all of them soon; a decrease may wait for their next polls.
/// Without I/O. The count comes from leases::LeaseTable; GatewayServiceState answers the polls.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace beechpoint::control {

/// Increases of the count within this window are announced together. Milliseconds.
inline constexpr Millis kCountWindow = 300;

class GatewayCountMonitor {
public:
    /// A new value of LeaseTable::peakLiveCount().
    /// @param maxLiveGateways empty: the count is currently unknown
    void observe(Millis now, std::optional<std::uint32_t> maxLiveGateways);

    /// Whether all long polls must be answered now with the new count. True once per announcement.
    [[nodiscard]] bool shouldAnnounce(Millis now, std::optional<std::uint32_t> maxLiveGateways);

private:
    [[nodiscard]] bool isSignificant(std::uint32_t maxLiveGateways) const;

    std::optional<std::uint32_t> announced_;  // empty: unknown when last observed, or none announced yet
    std::optional<Millis> announceAt_;        // end of the current window
};

}  // namespace beechpoint::control
