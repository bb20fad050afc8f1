// When each request is to be looked at next.
#pragma once

#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

class TimerQueue {
public:
    // Replaces the request's earlier time.
    void set(RequestId id, Millis at) {
        erase(id);
        at_.emplace(id, at);
        order_.emplace(at, id);
    }
    void erase(RequestId id) {
        const auto found = at_.find(id);
        if (found == at_.end()) return;
        order_.erase({found->second, id});
        at_.erase(found);
    }
    // Those that are due, the longest due first.
    std::vector<RequestId> due(Millis now) const {
        std::vector<RequestId> ids;
        for (const auto& [at, id] : order_) {
            if (at > now) break;
            ids.push_back(id);
        }
        return ids;
    }
    // Infinity where nothing is.
    Millis next() const {
        return order_.empty() ? std::numeric_limits<double>::infinity() : order_.begin()->first;
    }

private:
    std::unordered_map<RequestId, Millis> at_;
    std::set<std::pair<Millis, RequestId>> order_;
};

}  // namespace beechpoint::dispatch
