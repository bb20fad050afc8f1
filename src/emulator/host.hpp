// The model of one track host, free of I/O, clock and sockets: cores shared by what is in work, slots and a
// waiting room, a capacity that rises after a cold start, pauses of its own, a load report that is late and a
// little noisy, and connections that cost work. It is told what happens, with the time, and appends what
// comes of it. Times must not go back. It owns all it is handed; the same seed and events give the same
// actions.
//
// | state    | offer                  | connect        | drain    | die  | sent too much while cold |
// | up       | in work, waits or full | up to its cap  | draining | dead | fell: dead               |
// | draining | full                   | up to its cap  | -        | dead | - (it takes nothing)     |
// | dead     | - (nothing gets there) | no             | -        | -    | -                        |
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "emulator/random.hpp"
#include "emulator/scenario.hpp"

namespace beechpoint::emulator {

using PartTicket = std::uint64_t;  // the caller's name for a part it offered; never used twice, above 0

enum class PartEnd { done, failed, full };

struct HostAction {
    enum class Kind { ended, fell };
    Kind kind = Kind::ended;
    PartTicket ticket = 0;
    PartEnd end = PartEnd::done;
};
using HostActions = std::vector<HostAction>;

struct HostReport {
    double inflight = 0;  // parts held
    double queue = 0;     // parts waiting
    double qps = 0;       // parts a second, of late
};

// Where every part that came has gone: arrived = the sum of the others and of what is held.
struct HostTally {
    std::uint64_t arrived = 0, served = 0, failed = 0, turnedAway = 0;
    std::uint64_t dropped = 0;  // cancelled before or while it ran
    std::uint64_t ranOn = 0;    // cancelled, and done all the same: nobody had the answer
    std::uint64_t lost = 0;     // with the process
};

class HostModel {
public:
    // `subject` tells this host's random numbers from others'. A host that is not cold started long ago.
    HostModel(const HostKind& kind, const CancelPolicy& policy, std::uint64_t seed, std::uint64_t subject,
              Millis now, bool cold);

    // `until`: when the asker stops waiting, as it said.
    void offer(Millis now, PartTicket ticket, Millis work, Millis until, HostActions& out);
    void cancel(Millis now, PartTicket ticket, HostActions& out);
    bool connect(Millis now, HostActions& out);  // false: its table is full, or it is dead
    void disconnect(Millis now, HostActions& out);
    void probe(Millis now, HostActions& out);
    void drain(Millis now, HostActions& out);
    void die(Millis now, HostActions& out);
    void slow(Millis now, double factor, Millis until, HostActions& out);
    void pause(Millis now, Millis until, HostActions& out);
    void policy(Millis now, const CancelPolicy& policy, HostActions& out);

    Millis next() const;  // of the next thing due by itself; 1e300: none
    void advance(Millis now, HostActions& out);

    bool alive() const { return state_ != State::dead; }
    bool draining() const { return state_ == State::draining; }
    std::size_t inWork() const { return tasks_.size() - own_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t held() const { return inWork() + waiting(); }
    int connections() const { return connections_; }
    // Of its full capacity, as its start allows; 1: warm.
    double warmth() const;
    // Work a millisecond that it can do now, without its pauses and what crowding costs.
    double capacity() const;
    double fullCapacity() const { return kind_.cores * speed_; }
    // Work a millisecond that it does now, all told.
    double rate() const;
    const HostTally& tally() const { return tally_; }
    // As last refreshed and late as it is; nothing before the first.
    std::optional<HostReport> report(Millis now) const;

private:
    enum class State { up, draining, dead };
    struct Task {
        double target = 0;  // of attained_, at which it is done
        bool own = false;   // a handshake or a probe: holds no slot, nobody waits for it
        bool cancelled = false;
    };
    struct Waiting {
        PartTicket ticket = 0;
        Millis work = 0;
        Millis until = 0;
        bool cancelled = false;
    };
    struct Slow {
        double factor;
        Millis until;
    };
    struct Seen {
        Millis visibleAt;
        HostReport report;
    };

    void begin(PartTicket ticket, Millis work, bool own, bool cancelled);
    void beginWaiting(HostActions& out);
    void finishDue(HostActions& out);
    void finish(PartTicket ticket, const Task& task, HostActions& out);
    void forget(PartTicket ticket);
    bool overloaded(Millis work);
    void refreshReport();
    Millis nextBoundary() const;
    double ratePerTask() const;
    void passTo(Millis t);
    void atBoundary();

    HostKind kind_;
    CancelPolicy policy_;
    Draw fails_, noise_;
    double speed_;
    State state_ = State::up;
    Millis now_;
    Millis startedAt_;
    bool cold_;
    Millis nextGrid_ = 1e300;  // capacity is looked at anew on this grid while cold
    double workDone_ = 0;
    double warmth_ = 1;

    Millis pauseEvery_, pauseLength_, nextPause_, pauseEnds_ = -1, scriptedPauseEnds_ = -1;
    std::vector<Slow> slows_;

    double attained_ = 0;  // work that each task in work since the start would have had
    std::map<PartTicket, Task> tasks_;
    std::set<std::pair<double, PartTicket>> byTarget_;
    std::size_t own_ = 0;
    PartTicket nextOwn_ = 1ULL << 63;  // own work is named from here on
    std::deque<Waiting> waiting_;
    int connections_ = 0;

    std::deque<std::pair<Millis, double>> recent_;  // work sent while cold, over overloadTime
    double recentWork_ = 0;

    Millis reportEvery_, reportDelay_, nextReport_;
    std::uint64_t reports_ = 0, arrivedAtReport_ = 0;
    std::deque<Seen> seen_;
    HostTally tally_;
};

}  // namespace beechpoint::emulator
