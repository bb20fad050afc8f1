#include "virtual_network.hpp"

#include <algorithm>

namespace beechpoint::simulation {

void VirtualNetwork::at(Millis time, std::function<void()> step) {
    steps_.push_back(Step{std::max(time, now_), ++order_, std::move(step)});
    std::ranges::push_heap(steps_, std::greater<>{});
}

bool VirtualNetwork::runUntil(Millis span, const std::function<bool()>& condition) {
    const Millis end = now_ + span;
    while (!stopped_) {
        if (condition()) return true;
        if (steps_.empty() || steps_.front().time > end) {
            now_ = end;
            return condition();
        }
        std::ranges::pop_heap(steps_, std::greater<>{});
        const Step step = std::move(steps_.back());
        steps_.pop_back();
        now_ = step.time;
        step.action();
    }
    return false;
}

void VirtualNetwork::runFor(Millis span) {
    runUntil(span, [] { return false; });
}

void VirtualNetwork::send(Machine from, Machine to, std::function<void()> arrival) {
    const Millis delay = draw(0.5, 6) + draw(0, faults_.extraDelay);
    at(now_ + delay, [this, from, to, arrival = std::move(arrival)] {
        if (linked(from, to)) arrival();
    });
}

}  // namespace beechpoint::simulation
