/// Limits hedged attempts to a fraction of the idempotent requests in a sliding window. Hedging more than a
/// small fraction would double the load just when hosts are slow (Dean and Barroso, "The Tail at Scale",
/// 2013).
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

/// One per gateway, for all services.
class HedgeBudget {
public:
    /// `window`: length of the sliding window.
    explicit HedgeBudget(Millis window)
        : idempotent_(window, SlidingCount::Edge::lower), hedged_(window, SlidingCount::Edge::upper) {}

    /// An idempotent request arrived.
    void recordIdempotentRequest(Millis now) { idempotent_.add(now); }
    /// Whether one more hedged attempt may be sent now.
    [[nodiscard]] bool allows(Millis now) {
        return static_cast<double>(hedged_.count(now)) + 1 <=
               kMaxHedgedFraction * static_cast<double>(idempotent_.count(now));
    }
    /// A hedged attempt is sent.
    void spend(Millis now) { hedged_.add(now); }

private:
    static constexpr double kMaxHedgedFraction = 0.1;

    SlidingCount idempotent_;
    SlidingCount hedged_;
};

}  // namespace beechpoint::dispatch
