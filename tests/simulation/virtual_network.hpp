/// One clock, one queue of steps and one network for all processes of a run. Everything is drawn from the seed; one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::simulation {

using Machine = std::size_t;

struct NetworkFaults {
    double loss = 0;         // of the members' own messages
    Millis extraDelay = 0;   // at most, drawn for each message
    double lostAnswers = 0;  // of answers to operators and gateways
};

class VirtualNetwork {
public:
    explicit VirtualNetwork(std::uint64_t seed) : random_(seed * 7919 + 31) {}

    // ---- Time
    Millis now() const { return now_; }
    void at(Millis time, std::function<void()> step);
    // Until the condition holds; false where it did not within the span, or the run was stopped.
    bool runUntil(Millis span, const std::function<bool()>& condition);
    void runFor(Millis span);
    void stop() { stopped_ = true; }

    // ---- Links, each of one direction
    void partition(Machine from, Machine to) { partitioned_.insert({from, to}); }
    void healAll() { partitioned_.clear(); }
    bool linked(Machine from, Machine to) const { return !partitioned_.contains({from, to}); }
    bool linkedBothWays(Machine one, Machine other) const { return linked(one, other) && linked(other, one); }
    // Arrives after a drawn delay, unless the link is partitioned by then.
    void send(Machine from, Machine to, std::function<void()> arrival);
    NetworkFaults& faults() { return faults_; }

    // ---- Draws
    bool chance(double odds) { return random_() < odds; }
    double draw(double low, double high) { return low + (high - low) * random_(); }
    std::size_t below(std::size_t count) { return random_.below(count); }
    std::uint64_t bits() { return random_.bits(); }

private:
    struct Step {
        Millis time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Step& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    SplitMix random_;
    Millis now_ = 1'000'000;
    std::uint64_t order_ = 0;
    std::vector<Step> steps_;  // a heap, earliest first
    std::set<std::pair<Machine, Machine>> partitioned_;
    NetworkFaults faults_;
    bool stopped_ = false;
};

}  // namespace beechpoint::simulation
