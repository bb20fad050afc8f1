/// When each request is to be checked next.
#pragma once

#include <limits>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// At most one time a request. Free of clocks and I/O: the owner asks what is due.
class TimerQueue {
public:
    /// Replaces the request's earlier time.
    void set(RequestId id, Millis at) {
        erase(id);
        at_.emplace(id, at);
        order_.emplace(at, id);
    }
    /// Nothing where no time is set.
    void erase(RequestId id) {
        const auto found = at_.find(id);
        if (found == at_.end()) return;
        order_.erase({found->second, id});
        at_.erase(found);
    }
    /// Those that are due, the longest due first.
    [[nodiscard]] std::vector<RequestId> due(Millis now) const {
        std::vector<RequestId> ids;
        for (const auto& [at, id] : order_) {
            if (at > now) break;
            ids.push_back(id);
        }
        return ids;
    }
    /// The earliest time; infinity: none is set.
    [[nodiscard]] Millis next() const {
        return order_.empty() ? std::numeric_limits<double>::infinity() : order_.begin()->first;
    }

private:
    std::unordered_map<RequestId, Millis> at_;
    std::set<std::pair<Millis, RequestId>> order_;
};

}  // namespace beechpoint::dispatch
