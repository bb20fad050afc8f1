/// The requests that have not ended, and the time of each one's next check.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/request.hpp"
#include "dispatch/timer_queue.hpp"

namespace beechpoint::dispatch {

/// Owns the requests. References stay valid until erase() of that request. Lists of requests have an order
/// that depends on the requests alone, so that decisions are reproducible.
class RequestTable {
public:
    [[nodiscard]] bool contains(RequestId id) const { return requests_.contains(id); }
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    /// Adds a request whose id is not in the table yet.
    Request& add(Request request);
    /// nullptr: no such request, or it has ended.
    [[nodiscard]] Request* find(RequestId id);
    /// The same; nullptr also if the request has no such attempt.
    [[nodiscard]] Request* findWithAttempt(RequestId id, int attempt);
    void erase(RequestId id);

    /// All requests, by id.
    [[nodiscard]] std::vector<RequestId> all() const;
    /// The pending requests, most urgent first, then in order of arrival.
    [[nodiscard]] std::vector<RequestId> pending() const;
    /// The requests whose check is due, in the same order.
    [[nodiscard]] std::vector<RequestId> due(Millis now) const;

    /// Replaces the time of the request's next check.
    void scheduleCheck(RequestId id, Millis at) { checks_.set(id, at); }
    /// Time of the earliest check; infinity: none is scheduled.
    [[nodiscard]] Millis nextCheckAt() const { return checks_.next(); }

private:
    void sortByUrgency(std::vector<RequestId>& ids) const;

    std::unordered_map<RequestId, Request> requests_;
    TimerQueue checks_;
};

}  // namespace beechpoint::dispatch
