/// Collects the dispatcher's actions for one event, in order, and rate-limits its log lines.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Appends to the caller's vector between begin() and end(). add() and log() may only be called between
/// these.
class ActionList {
public:
    /// Begins one event: actions are appended to `out`, which must live until end().
    void begin(Millis now, std::vector<Action>& out) {
        now_ = now;
        out_ = &out;
    }
    void end() { out_ = nullptr; }

    /// Appends an action.
    template <class T>
    void add(T action) {
        out_->emplace_back(std::move(action));
    }
    /// Appends a log line, unless one of the same kind was logged within kLogInterval.
    void log(const char* kind, std::string text) {
        const auto [entry, inserted] = lastLoggedAt_.try_emplace(kind, now_);
        if (!inserted && now_ - entry->second < kLogInterval) return;
        entry->second = now_;
        add(Log{kind, std::move(text)});
    }

private:
    static constexpr Millis kLogInterval = 1000;

    Millis now_ = 0;
    std::vector<Action>* out_ = nullptr;
    std::map<std::string, Millis> lastLoggedAt_;
};

}  // namespace beechpoint::dispatch
