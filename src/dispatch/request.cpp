#include "dispatch/request.hpp"

#include <algorithm>

#include "dispatch/admission.hpp"

namespace beechpoint::dispatch {

int Request::inFlightCount() const {
    return static_cast<int>(std::ranges::count(attempts, true, &Attempt::inFlight));
}

int Request::hostsUsed() const {
    return static_cast<int>(std::ranges::count_if(
        attempts, [](const Attempt& attempt) { return attempt.mayHaveArrived && !attempt.misdirected; }));
}

bool Request::mayHaveArrived() const {
    return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.mayHaveArrived; });
}

bool Request::mayHaveRun() const {
    return std::ranges::any_of(attempts, [](const Attempt& attempt) { return attempt.mayHaveRun; });
}

bool Request::triedAt(const std::string& instance) const {
    return std::ranges::any_of(attempts,
                               [&](const Attempt& attempt) { return attempt.instance == instance; });
}

bool Request::inFlightAt(const std::string& instance) const {
    return std::ranges::any_of(
        attempts, [&](const Attempt& attempt) { return attempt.inFlight && attempt.instance == instance; });
}

void awaitHost(Request& request, Millis now) {
    if (request.pending) return;
    request.pending = true;
    request.pendingUntil = now + maxPendingTime(request.arrival.latencyTarget, request.deadlineAt - now);
}

}  // namespace beechpoint::dispatch
