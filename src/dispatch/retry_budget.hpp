// This gateway's part of the budget that all gateways share for sending requests of a service further than to a first
// host. One object a service.
//
// The rule, for every window W of arrivals: sum of further sends <= ratio x R(W) + slack, with R(W) the most requests in
// W, the window before it or the one half a window before it. Here a further send at t needs
//     further sends in (t - 1.1 W, t]  <=  ratio/2 x own requests in (t - W, t] + 0.6 x slack / N.
// Let t be a gateway's last further send in W: (t - W, t] is covered by two of the rule's three windows, so the sum over all
// gateways of the ratio part is at most ratio/2 x 2 R(W). The slack parts sum to 0.6 x slack for the right N, and to
// 0.9 x slack where N is too small by a third or every second gateway has been restarted and has forgotten its sends.
// The tenth of W beyond the window is for the way to the hosts.
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

struct RetryBounds {
    double ratio = 0;
    Millis window = 10000;
    double slack = 0;  // over all gateways
};

class RetryBudget {
public:
    explicit RetryBudget(const RetryBounds& bounds);

    void setFleet(int gateways, bool known);
    void requested(Millis now) { requests_.add(now); }  // a client's request for the service
    bool allows(Millis now);
    void spend(Millis now) { retries_.add(now); }

private:
    RetryBounds bounds_;
    double slackPart_ = 0;
    SlidingCount requests_;
    SlidingCount retries_;
};

}  // namespace beechpoint::dispatch
