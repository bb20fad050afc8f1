#include "dispatch/request_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace beechpoint::dispatch {

Request& RequestTable::add(Request request) {
    const RequestId id = request.arrival.id;
    return requests_.emplace(id, std::move(request)).first->second;
}

Request* RequestTable::find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

Request* RequestTable::findWithAttempt(RequestId id, int attempt) {
    Request* const request = find(id);
    if (!request || attempt < 0) return nullptr;
    return attempt < static_cast<int>(request->attempts.size()) ? request : nullptr;
}

void RequestTable::erase(RequestId id) {
    checks_.erase(id);
    requests_.erase(id);
}

std::vector<RequestId> RequestTable::all() const {
    std::vector<RequestId> ids;
    ids.reserve(requests_.size());
    for (const auto& [id, request] : requests_) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<RequestId> RequestTable::pending() const {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_)
        if (request.pending) ids.push_back(id);
    sortByUrgency(ids);
    return ids;
}

std::vector<RequestId> RequestTable::due(Millis now) const {
    std::vector<RequestId> ids = checks_.due(now);
    sortByUrgency(ids);
    return ids;
}

// The id breaks ties, so that the order does not depend on the hash table.
void RequestTable::sortByUrgency(std::vector<RequestId>& ids) const {
    std::sort(ids.begin(), ids.end(), [&](RequestId left, RequestId right) {
        const Request& first = requests_.at(left);
        const Request& second = requests_.at(right);
        return std::tie(first.arrival.priorityClass, first.arrivedAt, left) <
               std::tie(second.arrival.priorityClass, second.arrivedAt, right);
    });
}

}  // namespace beechpoint::dispatch
