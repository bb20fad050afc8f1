#include "dispatch/retry_budget.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kRatioFraction = 0.5;      // two windows may cover one: see the header
constexpr double kSlackFraction = 0.6;      // margin for unknown and restarted gateways
constexpr double kRetryWindowFactor = 1.1;  // of the window: retries arrive later than they are sent

}  // namespace

RetryBudget::RetryBudget(const RetryBounds& bounds)
    : bounds_(bounds),
      requests_(bounds.window, SlidingCount::Edge::lower),
      retries_(bounds.window * kRetryWindowFactor, SlidingCount::Edge::upper) {}

void RetryBudget::setFleet(int gateways, bool known) {
    slackShare_ = known ? kSlackFraction * bounds_.slack / std::max(1, gateways) : 0;
}

bool RetryBudget::allows(Millis now) {
    const double requests = static_cast<double>(requests_.count(now));
    const double retries = static_cast<double>(retries_.count(now));
    return retries + 1 <= kRatioFraction * bounds_.ratio * requests + slackShare_;
}

}  // namespace beechpoint::dispatch
