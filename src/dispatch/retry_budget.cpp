#include "dispatch/retry_budget.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kRatioPart = 0.5;   // see the header: two windows may stand for one
constexpr double kSlackPart = 0.6;   // margin for gateways that are not known of, or were restarted
constexpr double kWindowPart = 1.1;  // sends are counted for longer: they arrive later than they are sent

}  // namespace

RetryBudget::RetryBudget(const RetryBounds& bounds)
    : bounds_(bounds),
      requests_(bounds.window, SlidingCount::Edge::lower),
      retries_(bounds.window * kWindowPart, SlidingCount::Edge::upper) {}

void RetryBudget::setFleet(int gateways, bool known) {
    slackPart_ = known ? kSlackPart * bounds_.slack / std::max(1, gateways) : 0;
}

bool RetryBudget::allows(Millis now) {
    const double requests = static_cast<double>(requests_.count(now));
    const double retries = static_cast<double>(retries_.count(now));
    return retries + 1 <= kRatioPart * bounds_.ratio * requests + slackPart_;
}

}  // namespace beechpoint::dispatch
