#include "dispatch/request_checks.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr Millis kPendingInterval = 25;  // between checks of a pending request

}  // namespace

void RequestChecks::checkDue() { checkAll(requests_.due(state_.now)); }

void RequestChecks::checkPending() { checkAll(requests_.pending()); }

void RequestChecks::checkAll(const std::vector<RequestId>& ids) {
    for (const RequestId id : ids) {
        if (Request* const request = requests_.find(id)) check(*request);
        schedule(id);
    }
}

void RequestChecks::check(Request& request) {
    if (state_.now >= request.deadlineAt)
        completion_.timeOut(request);
    else if (!request.pending)
        overdue_.check(request);
    else if (state_.now >= request.pendingUntil)
        completion_.giveUp(request, RejectReason::noHostAvailable);
    else if (request.attempts.empty())
        initialSend_.send(request);
    else
        failover_.retry(request, Failover::kNoHost);
}

void RequestChecks::schedule(RequestId id) {
    const Request* const request = requests_.find(id);
    if (!request) return;
    const Millis at = request->pending ? std::min(request->pendingUntil, state_.now + kPendingInterval)
                                       : overdue_.nextCheckAt(*request);
    requests_.scheduleCheck(id, at);
}

}  // namespace beechpoint::dispatch
