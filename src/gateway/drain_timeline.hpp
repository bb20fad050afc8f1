// When a gateway that was told to stop stops doing what. Free of I/O and clock: it is told the time and answers.
//
//            0 s                          takesAllUntil             mayEndAt        endsAt      SIGKILL
//   serving  |  leaving                   |  finishing                 .            |  ended    |
//   SIGTERM--+----------------------------+----------------------------.------------+-----------+ grace_s
//
// serving    Clients are sent here; every request is taken.
// leaving    From SIGTERM on it counts as not ready (readiness answers 503) and as draining (the directory, here and at other
//            gateways, leaves it out), and each answer ends its connection. Those who were told of it before still come, so it
//            listens on and takes every request. The phase lasts until the directory's answers have expired: their time to
//            live, and kDirectoryLag for the news to reach the gateways that give them.
// finishing  It listens no more and closes kept connections that rest. Who holds an expired answer finds the port closed and
//            goes to another address at once. A request that is still read (on a kept connection, or begun before) is taken
//            only if all the time that it may last ends before the gateway does; any other is refused (503: it has not run),
//            and its client goes elsewhere. What runs is served to its end.
// ended      Shortly before the process would be killed. What still runs was taken while leaving, by a client whose
//            deadline lies behind the end of the grace time; it is ended as broken.
//
// The leaving phase is no longer than kMostLeaving, since only for requests sent within 3 s of SIGTERM a stream may be cut at the
// end of the grace time, and no longer than half of the grace time, so that the other half is left to finish them. Where that is
// less than the life of the directory's answers, the last of those who hold one find the port closed, as said above.
//
// A gateway that has nothing to do may end from mayEndAt on: not sooner, since clients find the directory by a list that is
// seed_lag_s old and would meet a closed port here.
#pragma once

#include "core/clock.hpp"

namespace beechpoint::gateway {

struct DrainSettings {
    Millis grace = 0;         // from SIGTERM to SIGKILL
    Millis directoryTtl = 0;  // of the directory's answers
    Millis seedLag = 0;       // of the list by which clients find a directory
};

class DrainTimeline {
public:
    enum class Phase { serving, leaving, finishing, ended };

    static constexpr Millis kDirectoryLag =
        1500;  // from SIGTERM until no gateway names this one: shares 0.5 s, polls 1 s
    static constexpr Millis kMostLeaving = 2750;  // 3 s, less what a signal may take to be seen
    static constexpr double kLeavingPart = 0.5;   // of the grace time, at most
    static constexpr Millis kBeforeKill = 400;    // the process has ended by then
    static constexpr Millis kLagMargin = 500;     // behind seedLag

    explicit DrainTimeline(const DrainSettings& settings);

    // SIGTERM has come; a second one changes nothing.
    void begin(Millis now);
    bool begun() const { return begun_; }
    Phase phase(Millis now) const;
    // Whether a request that is read now, and may last this long, is taken.
    bool accepts(Millis now, Millis mayLast) const;
    bool listens(Millis now) const { return phase(now) < Phase::finishing; }
    // Whether the process is to end; `busy`: requests or connections are open.
    bool ends(Millis now, bool busy) const;

    // After SIGTERM.
    Millis leavingFor() const { return leavingFor_; }
    Millis mayEndAfter() const { return mayEndAfter_; }
    Millis endsAfter() const { return endsAfter_; }

private:
    Millis leavingFor_, endsAfter_;
    Millis mayEndAfter_ = 0;
    Millis beganAt_ = 0;
    bool begun_ = false;
};

}  // namespace beechpoint::gateway
