/// Processes that recent views removed, and how long each must wait before it is added again.
///
/// A flapping process, for example with a slow disk or link, causes a view change and a state transfer each time. Its probation
/// therefore doubles with each removal, up to a bound well below the time for which a loss counts after the return.
#pragma once

#include <vector>

#include "core/clock.hpp"
#include "replica/failure_detector.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

class RemovalHistory {
public:
    /// Records the processes of the previous view that the new view does not list.
    void enterView(Millis now, const View& before, const View& view);
    /// How long this process must have answered heartbeats, in ms; 0 if it was not removed recently.
    Millis probationOf(const Member& process, Millis now) const;
    /// Time until which the process may copy the table outside the view; after that it is added without a complete copy. A
    /// removed process, whose copy may have taken too long inside the view, gets twice the time with each removal.
    Millis learningDeadline(const Peer& peer) const;

private:
    struct Removal {
        Member process;
        Millis at;
    };

    std::vector<Removal> removals_;  // oldest first
};

}  // namespace beechpoint::replica
