// The actions of one turn of the dispatcher, in order, and the bound on its log lines.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

class ActionList {
public:
    // What is done until end() goes to `out`.
    void begin(Millis now, std::vector<Action>& out) {
        now_ = now;
        out_ = &out;
    }
    void end() { out_ = nullptr; }

    template <class T>
    void act(T action) {
        out_->emplace_back(std::move(action));
    }
    // A line of the log; of each kind at most one in kLogEvery.
    void log(const char* kind, std::string text) {
        const auto [entry, first] = loggedAt_.try_emplace(kind, now_);
        if (!first && now_ - entry->second < kLogEvery) return;
        entry->second = now_;
        act(Log{kind, std::move(text)});
    }

private:
    static constexpr Millis kLogEvery = 1000;

    Millis now_ = 0;
    std::vector<Action>* out_ = nullptr;
    std::map<std::string, Millis> loggedAt_;
};

}  // namespace beechpoint::dispatch
