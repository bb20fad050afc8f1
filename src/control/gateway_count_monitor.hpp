/// Decides when a changed count of live gateways is sent to the gateways at once.
///
/// Gateways divide budgets (limits over all gateways) by this count, so a higher one must reach all of them soon; a lower one may wait for
/// their next polls. Free of I/O. It counts nothing itself (leases::LeaseTable does) and answers no polls (GatewayServiceState does).
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace beechpoint::control {

/// Increases of the count that come within this window are announced together. Milliseconds.
inline constexpr Millis kCountWindow = 300;

class GatewayCountMonitor {
public:
    /// A new value of LeaseTable::peakLiveCount().
    /// @param maxLiveGateways nothing: the count is not known at the moment
    void observe(Millis now, std::optional<std::uint32_t> maxLiveGateways);

    /// Whether all long polls are to be answered now with the new count. True once for each announcement.
    [[nodiscard]] bool shouldAnnounce(Millis now, std::optional<std::uint32_t> maxLiveGateways);

private:
    [[nodiscard]] bool isSignificant(std::uint32_t maxLiveGateways) const;

    std::optional<std::uint32_t> announced_;  // nothing: not known when last observed, or none announced yet
    std::optional<Millis> announceAt_;        // end of the window that runs
};

}  // namespace beechpoint::control
