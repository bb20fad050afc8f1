/// This gateway's share of the retry budget of a service, which all gateways have together. A retry is a send
/// to another host than the first. One per service.
///
/// The rule, for every window W of arrivals: sum of retries <= ratio x R(W) + slack, where R(W) is the
/// largest number of requests in W, the window before it or the window half a window before it. This class
/// allows a retry at t only if
///     retries in (t - 1.1 W, t]  <=  ratio/2 x own requests in (t - W, t] + 0.6 x slack / N.
/// Let t be a gateway's last retry in W: (t - W, t] is covered by two of the rule's three windows, so the sum
/// over all gateways of the ratio part is at most ratio/2 x 2 R(W). The slack parts sum to 0.6 x slack for
/// the right N, and to 0.9 x slack if N is too small by a third, or if every second gateway has restarted and
/// lost its counts. The 0.1 W beyond the window allows for the delay between sending a retry and its arrival.
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

/// The budget of all gateways together.
struct RetryBounds {
    double ratio = 0;
    Millis window = 10000;
    double slack = 0;  ///< number of retries
};

/// Enforces the inequality above. Times must not decrease.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBounds& bounds);

    /// Sets the number of gateways that share the budget. While it is unknown, there is no slack.
    void setFleet(int gateways, bool known);
    /// A client's request for the service arrived.
    void recordRequest(Millis now) { requests_.add(now); }
    /// Whether one more retry may be sent now.
    [[nodiscard]] bool allows(Millis now);
    /// A retry is sent.
    void spend(Millis now) { retries_.add(now); }

private:
    RetryBounds bounds_;
    double slackShare_ = 0;
    SlidingCount requests_;
    SlidingCount retries_;
};

}  // namespace beechpoint::dispatch
