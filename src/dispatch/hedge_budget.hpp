// How many copies of repeatable requests may be sent beside their first attempts: a share of those of late.
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

class HedgeBudget {
public:
    explicit HedgeBudget(Millis window)
        : idempotent_(window, SlidingCount::Edge::lower), hedged_(window, SlidingCount::Edge::upper) {}

    void idempotentArrived(Millis now) { idempotent_.add(now); }
    bool allows(Millis now) {
        return static_cast<double>(hedged_.count(now)) + 1 <=
               kHedgedPart * static_cast<double>(idempotent_.count(now));
    }
    void spend(Millis now) { hedged_.add(now); }

private:
    static constexpr double kHedgedPart = 0.1;

    SlidingCount idempotent_, hedged_;
};

}  // namespace beechpoint::dispatch
