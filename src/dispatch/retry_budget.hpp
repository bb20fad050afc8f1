/// This gateway's part of the budget that all gateways have together for retries of a service's requests: sends to a
/// further host than the first. One object a service.
///
/// The rule, for every window W of arrivals: sum of retries <= ratio x R(W) + slack, with R(W) the most requests in
/// W, the window before it or the one half a window before it. Here a retry at t needs
///     retries in (t - 1.1 W, t]  <=  ratio/2 x own requests in (t - W, t] + 0.6 x slack / N.
/// Let t be a gateway's last retry in W: (t - W, t] is covered by two of the rule's three windows, so the sum over all
/// gateways of the ratio part is at most ratio/2 x 2 R(W). The slack parts sum to 0.6 x slack for the right N, and to
/// 0.9 x slack where N is too small by a third or every second gateway has been restarted and has forgotten its sends.
/// The tenth of W beyond the window is for the way to the hosts.
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

/// The budget over all gateways.
struct RetryBounds {
    double ratio = 0;
    Millis window = 10000;
    double slack = 0;  ///< over all gateways
};

/// Allows at most what the inequality above does. Times must not go back.
class RetryBudget {
public:
    explicit RetryBudget(const RetryBounds& bounds);

    /// How many gateways divide the budget among themselves. Not known: there is no slack.
    void setFleet(int gateways, bool known);
    /// A client's request for the service has come.
    void requested(Millis now) { requests_.add(now); }
    /// Whether one more retry may be sent now.
    [[nodiscard]] bool allows(Millis now);
    /// A retry is sent.
    void spend(Millis now) { retries_.add(now); }

private:
    RetryBounds bounds_;
    double slackPart_ = 0;
    SlidingCount requests_;
    SlidingCount retries_;
};

}  // namespace beechpoint::dispatch
