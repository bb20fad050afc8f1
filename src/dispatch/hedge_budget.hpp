// How many copies of repeatable requests may be sent beside their first attempts: a share of those of late.
#pragma once

#include "core/clock.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {

class CopyBudget {
public:
    explicit CopyBudget(Millis window)
        : repeatable_(window, SlidingCount::Edge::lower), copies_(window, SlidingCount::Edge::upper) {}

    void repeatableArrived(Millis now) { repeatable_.add(now); }
    bool allows(Millis now) {
        return static_cast<double>(copies_.count(now)) + 1 <=
               kCopyShare * static_cast<double>(repeatable_.count(now));
    }
    void spend(Millis now) { copies_.add(now); }

private:
    static constexpr double kCopyShare = 0.1;

    SlidingCount repeatable_, copies_;
};

}  // namespace beechpoint::dispatch
