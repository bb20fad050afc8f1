/// Processes that recent views left out, and for how long each of them has to wait before it is taken in again.
///
/// A process that comes and goes, as with a slow disk or link, costs a view change and a transfer of state each time: its waiting
/// time doubles with each removal, up to a bound well below the time that a loss counts for after the return.
#pragma once

#include <vector>

#include "core/clock.hpp"
#include "replica/failure_detector.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

class RemovalHistory {
public:
    /// Records the processes of the view before that the new view doesn't list.
    void enterView(Millis now, const View& before, const View& view);
    /// For how long this process must have answered heartbeats (ms); 0 if it was not removed lately.
    Millis probationOf(const Member& process, Millis now) const;
    /// Until when the process may go on copying the table outside the view; then it is taken in as it is. One that was left out,
    /// perhaps since its copy took too long inside, gets twice the time with each removal.
    Millis learningDeadline(const Peer& peer) const;

private:
    struct Removal {
        Member process;
        Millis at;
    };

    std::vector<Removal> removals_;  // oldest first
};

}  // namespace beechpoint::replica
