#include "control/gateway_count_monitor.hpp"

namespace beechpoint::control {
namespace {

// An increase by no more than one in so many is not announced: the budgets hardly change by it.
constexpr std::uint32_t kSignificantFraction = 8;

}  // namespace

void GatewayCountMonitor::observe(Millis now, std::optional<std::uint32_t> largestLive) {
    if (!largestLive) {
        announced_.reset();
        return;
    }
    if (announced_ && *largestLive < *announced_) announced_ = largestLive;
    if (isSignificant(*largestLive) && !announceAt_) announceAt_ = now + kCountWindow;
}

bool GatewayCountMonitor::shouldAnnounce(Millis now, std::optional<std::uint32_t> largestLive) {
    if (!announceAt_ || now < *announceAt_) return false;
    announceAt_.reset();
    // The count may have fallen again within the window.
    if (!largestLive || !isSignificant(*largestLive)) return false;
    announced_ = largestLive;
    return true;
}

bool GatewayCountMonitor::isSignificant(std::uint32_t largestLive) const {
    return !announced_ || largestLive > *announced_ + *announced_ / kSignificantFraction;
}

}  // namespace beechpoint::control
