/// Timers of requests, ordered by time.
#pragma once

#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Holds at most one timer per request. Uses no clock: the owner polls due().
class TimerQueue {
public:
    /// Sets the request's timer, replacing an earlier one.
    void set(RequestId id, Millis at) {
        erase(id);
        at_.emplace(id, at);
        order_.emplace(at, id);
    }
    /// No effect if no timer is set.
    void erase(RequestId id) {
        const auto found = at_.find(id);
        if (found == at_.end()) return;
        order_.erase({found->second, id});
        at_.erase(found);
    }
    /// The requests whose timer has expired, earliest first.
    [[nodiscard]] std::vector<RequestId> due(Millis now) const {
        std::vector<RequestId> ids;
        for (const auto& [at, id] : order_) {
            if (at > now) break;
            ids.push_back(id);
        }
        return ids;
    }
    /// The earliest time; infinity: no timer is set.
    [[nodiscard]] Millis next() const {
        return order_.empty() ? std::numeric_limits<double>::infinity() : order_.begin()->first;
    }

private:
    std::unordered_map<RequestId, Millis> at_;
    std::set<std::pair<Millis, RequestId>> order_;
};

}  // namespace beechpoint::dispatch
