/// The actions of one turn of the dispatcher, in order, and the bound on its log lines.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Appends to the caller's vector between begin() and end(). act() and log() may only be called between these.
class ActionList {
public:
    /// Starts the handling of one event: actions go to `out`, which must live until end().
    void begin(Millis now, std::vector<Action>& out) {
        now_ = now;
        out_ = &out;
    }
    void end() { out_ = nullptr; }

    /// Appends an action.
    template <class T>
    void act(T action) {
        out_->emplace_back(std::move(action));
    }
    /// Appends a log line, unless one of its kind was logged within kLogInterval.
    void log(const char* kind, std::string text) {
        const auto [entry, first] = loggedAt_.try_emplace(kind, now_);
        if (!first && now_ - entry->second < kLogInterval) return;
        entry->second = now_;
        act(Log{kind, std::move(text)});
    }

private:
    static constexpr Millis kLogInterval = 1000;

    Millis now_ = 0;
    std::vector<Action>* out_ = nullptr;
    std::map<std::string, Millis> loggedAt_;
};

}  // namespace beechpoint::dispatch
