// Plays a scenario of faults on a stage, virtual or real: says when what happens to whom, by the scenario and a seed, and
// undoes it in time. Free of I/O: (now) in, calls of the stage out. It keeps to what the group promises: where nothing lasts,
// as many voters as a majority needs have their memory at any time; more at once is not drawn (a script may do it).
//
// It also takes the times that staff would ask for: from a kill or an orderly end of a holder to the next one's act.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/group_scenario.hpp"

namespace beechpoint::emulator {

// Where it is played. Members by number from 0.
class GroupStage {
public:
    virtual ~GroupStage() = default;
    virtual void kill(int member) = 0;
    virtual void start(int member) = 0;
    virtual void end(int member) = 0;  // in order
    virtual void stop(int member) = 0;
    virtual void proceed(int member) = 0;
    virtual void upgrade(int member) = 0;    // a new process beside the old one, which end() then ends
    virtual void endNewest(int member) = 0;  // SIGKILL to that new process: the upgrade has failed
    virtual void wipe(int member) = 0;       // its folder; it does not run
    virtual void cutPair(int from, int to, bool on) = 0;  // one way
    virtual void lose(double share) = 0;
    virtual void delay(Millis more) = 0;  // three datagrams in ten, by up to so much
    virtual void replayOld() = 0;
    virtual bool runs(int member) const = 0;
    virtual bool whole(int member) const = 0;        // a voter with its memory, or no voter
    virtual int leads() const = 0;                   // -1: nobody that is known
    virtual int holds(int singletonRole) const = 0;  // who may act on it now; -1: nobody
    virtual std::string roleOf(int member) const = 0;
    // An operation of an operator at a member: takes the duty, or gives it up (to: -1: to whoever is next).
    virtual void takeDuty(int member, int singletonRole) = 0;
    virtual void giveDuty(int member, int singletonRole, int to) = 0;
};

struct GroupTimes {
    std::vector<Millis> afterKill, afterEnd, afterUpgrade;  // to the next holder's act
    std::map<std::string, std::uint64_t> faults, met;
};

class GroupDirector {
public:
    GroupDirector(GroupScenario scenario, std::uint64_t seed, GroupStage& stage);

    void advance(Millis now);
    Millis next() const;
    const GroupTimes& times() const { return times_; }
    std::function<void(Millis, const std::string&)> trace;

private:
    struct Due {
        Millis at = 0;
        std::uint64_t order = 0;
        std::function<void(Millis)> call;
        bool operator>(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    struct Watch {
        int singletonRole = 0, old = 0;
        Millis since = 0;
        std::vector<Millis> GroupTimes::*kind = nullptr;
    };
    void at(Millis t, std::function<void(Millis)> call) { due_.push({t, ++order_, std::move(call)}); }
    double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Millis between(Millis a, Millis b) { return a + (b - a) * unit(); }
    int pick(const std::string& whom);
    bool mayForget(int member) const;
    void fault(Millis now, const GroupFault& f, bool drawn);
    void drawFault(Millis now);
    void operate(Millis now);
    void meets(Millis now, const std::string& what, int member);
    void watch(Millis now, int member, std::vector<Millis> GroupTimes::*kind);
    void cutOff(int member, bool hears, bool heard, bool on);
    void heal(Millis now);

    GroupScenario scenario_;
    std::mt19937_64 random_;
    GroupStage& stage_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t order_ = 0;
    std::vector<Watch> watched_;
    std::multiset<int> ending_;  // told to end, and about to lose their memory where nothing lasts
    bool healed_ = false;
    GroupTimes times_;
};

}  // namespace beechpoint::emulator
