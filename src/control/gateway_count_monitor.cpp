#include "control/gateway_count_monitor.hpp"

namespace beechpoint::control {
namespace {

// An increase by at most this fraction (1/8) is not announced: it hardly changes the budgets.
constexpr std::uint32_t kSignificantFraction = 8;

}  // namespace

void GatewayCountMonitor::observe(Millis now, std::optional<std::uint32_t> maxLiveGateways) {
    if (!maxLiveGateways) {
        announced_.reset();
        return;
    }
    if (announced_ && *maxLiveGateways < *announced_) announced_ = maxLiveGateways;
    if (isSignificant(*maxLiveGateways) && !announceAt_) announceAt_ = now + kCountWindow;
}

bool GatewayCountMonitor::shouldAnnounce(Millis now, std::optional<std::uint32_t> maxLiveGateways) {
    if (!announceAt_ || now < *announceAt_) return false;
    announceAt_.reset();
    // The count may have decreased again within the window.
    if (!maxLiveGateways || !isSignificant(*maxLiveGateways)) return false;
    announced_ = maxLiveGateways;
    return true;
}

bool GatewayCountMonitor::isSignificant(std::uint32_t maxLiveGateways) const {
    return !announced_ || maxLiveGateways > *announced_ + *announced_ / kSignificantFraction;
}

}  // namespace beechpoint::control
