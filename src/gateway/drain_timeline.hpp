/// Which phase of a graceful shutdown a gateway is in, and what it still accepts. Free of I/O and clock: each call brings the time.
///
///            0 s                          leavingFor()              mayEndAfter()   endsAfter()  SIGKILL
///   serving  |  leaving                   |  finishing                 .            |  ended    |
///   SIGTERM--+----------------------------+----------------------------.------------+-----------+ grace_s
///
/// serving    Clients are sent here; every request is accepted.
/// leaving    From SIGTERM on it counts as not ready (readiness answers 503) and as draining (the directory, here and at other
///            gateways, leaves it out), and each answer ends its connection. Clients that were given its address before still come,
///            so it listens on and accepts every request. The phase lasts until the directory's answers have expired: their time
///            to live, and kDirectoryLag until the gateways that give them know of the draining.
/// finishing  It listens no more and closes idle client connections. A client with an expired answer finds the port closed and
///            goes to another address at once. A request that is still read (on a kept-alive connection, or begun before) is
///            accepted only if all the time that it may last ends before the gateway does; any other is rejected (503: it has not
///            run), and its client goes elsewhere. Requests in flight are served to their end.
/// ended      Shortly before the process would be killed. What is still in flight was accepted while leaving, by a client whose
///            deadline lies behind the end of the grace time; it is ended as broken.
///
/// The leaving phase is no longer than kMaxLeaving, since only for requests sent within 3 s of SIGTERM a stream may be broken off at
/// the end of the grace time, and no longer than half of the grace time, so that the other half is left to finish them. Where that
/// is less than the time to live of the directory's answers, the last clients that have one find the port closed, as said above.
///
/// A gateway that has nothing to do may end from mayEndAfter() on: not sooner, since clients find the directory by a list that is
/// seed_lag_s old and would meet a closed port here.
#pragma once

#include "core/clock.hpp"

namespace beechpoint::gateway {

struct DrainSettings {
    Millis grace = 0;         ///< from SIGTERM to SIGKILL
    Millis directoryTtl = 0;  ///< time to live of the directory's answers
    Millis seedLag = 0;       ///< age of the list by which clients find a directory
};

class DrainTimeline {
public:
    enum class Phase { serving, leaving, finishing, ended };

    static constexpr Millis kDirectoryLag =
        1500;  ///< from SIGTERM until no gateway names this one: peer updates 0.5 s, polls 1 s
    static constexpr Millis kMaxLeaving = 2750;         ///< 3 s, less what a signal may take to be seen
    static constexpr double kMaxLeavingFraction = 0.5;  ///< of the grace time, at most
    static constexpr Millis kBeforeKill = 400;          ///< the process has ended by then
    static constexpr Millis kLagMargin = 500;           ///< beyond seedLag

    explicit DrainTimeline(const DrainSettings& settings);

    /// SIGTERM has come; a second one changes nothing.
    void begin(Millis now);
    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] Phase phase(Millis now) const;
    /// Whether a request that is read now, and may last this long, is accepted.
    [[nodiscard]] bool accepts(Millis now, Millis mayLast) const;
    /// Whether new connections are accepted.
    [[nodiscard]] bool listens(Millis now) const { return phase(now) < Phase::finishing; }
    /// Whether the process is to end; `busy`: requests or connections are open.
    [[nodiscard]] bool ends(Millis now, bool busy) const;

    /// Ends of the phases, in ms after SIGTERM.
    [[nodiscard]] Millis leavingFor() const { return leavingFor_; }
    [[nodiscard]] Millis mayEndAfter() const { return mayEndAfter_; }
    [[nodiscard]] Millis endsAfter() const { return endsAfter_; }

private:
    Millis leavingFor_, endsAfter_;
    Millis mayEndAfter_ = 0;
    Millis beganAt_ = 0;
    bool begun_ = false;
};

}  // namespace beechpoint::gateway
