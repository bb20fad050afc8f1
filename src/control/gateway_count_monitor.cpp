#include "control/gateway_count_monitor.hpp"

namespace beechpoint::control {
namespace {

// An increase by no more than one in so many is not announced: the budgets hardly change by it.
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
    // The count may have fallen again within the window.
    if (!maxLiveGateways || !isSignificant(*maxLiveGateways)) return false;
    announced_ = maxLiveGateways;
    return true;
}

bool GatewayCountMonitor::isSignificant(std::uint32_t maxLiveGateways) const {
    return !announced_ || maxLiveGateways > *announced_ + *announced_ / kSignificantFraction;
}

}  // namespace beechpoint::control
