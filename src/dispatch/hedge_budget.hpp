/// How many hedged attempts may be sent beside first attempts: a part of the idempotent requests in the window. Hedging
/// more than a small part of the requests would double the load just when hosts are slow (The Tail at Scale, 2013).
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

/// One object a gateway, over all services.
class HedgeBudget {
public:
    /// `window`: of the sliding counts.
    explicit HedgeBudget(Millis window)
        : idempotent_(window, SlidingCount::Edge::lower), hedged_(window, SlidingCount::Edge::upper) {}

    /// An idempotent request has come.
    void idempotentArrived(Millis now) { idempotent_.add(now); }
    /// Whether one more hedged attempt may be sent now.
    [[nodiscard]] bool allows(Millis now) {
        return static_cast<double>(hedged_.count(now)) + 1 <=
               kHedgedPart * static_cast<double>(idempotent_.count(now));
    }
    /// A hedged attempt is sent.
    void spend(Millis now) { hedged_.add(now); }

private:
    static constexpr double kHedgedPart = 0.1;

    SlidingCount idempotent_;
    SlidingCount hedged_;
};

}  // namespace beechpoint::dispatch
