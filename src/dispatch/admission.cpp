#include "dispatch/admission.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace beechpoint::dispatch {

namespace {

constexpr double kFreeUtilization = 0.5;    // below it nothing is rejected; host scores include the wait
constexpr double kUtilizationMargin = 1.2;  // the utilization is an estimate
// Tolerated wait in latency targets, by priority class; the last value applies to all further classes.
constexpr std::array<double, 3> kToleratedTargets = {3, 2, 1.5};
constexpr double kMaxWaitDeadlineFraction = 0.6;
constexpr Millis kMinRetryAfter = 300;
constexpr Millis kMaxRetryAfter = 1000;
// Clients follow a Retry-After of up to this fraction of their remaining time.
constexpr double kHonouredDeadlineFraction = 0.33;
// Operators penalize requests that are pending without a send for more than a quarter of their latency
// target.
constexpr double kPendingTargetFraction = 0.22;

double toleratedTargets(int priorityClass) {
    const auto index = std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0, priorityClass)), 0,
                                               kToleratedTargets.size() - 1);
    return kToleratedTargets[index];
}

}  // namespace

AdmissionDecision admit(const AdmissionForecast& forecast) {
    if (forecast.utilization < kFreeUtilization * kUtilizationMargin) return {};
    const Millis tolerated = std::min(toleratedTargets(forecast.priorityClass) * forecast.latencyTarget,
                                      kMaxWaitDeadlineFraction * forecast.deadline);
    if (forecast.wait <= tolerated) return {};
    return {false, retryAfter(forecast.wait - tolerated, forecast.deadline)};
}

Millis retryAfter(Millis excess, Millis deadlineLeft) {
    const Millis delay = std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
    return std::min(delay, kHonouredDeadlineFraction * std::max(0.0, deadlineLeft));
}

Millis maxPendingTime(Millis latencyTarget, Millis deadlineLeft) {
    return std::min(kPendingTargetFraction * latencyTarget,
                    kMaxWaitDeadlineFraction * std::max(0.0, deadlineLeft));
}

}  // namespace beechpoint::dispatch
