#include "dispatch/request_completion.hpp"

#include "dispatch/admission.hpp"

namespace beechpoint::dispatch {

namespace {

constexpr int kNoAttempt = -1;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

}  // namespace

void RequestCompletion::relay(Request& request, int number) {
    if (request.relayed == number) return;
    request.relayed = number;
    request.open = true;
    state_.actions.add(Relay{request.arrival.id, number});
    cancelOthers(request, number);
}

void RequestCompletion::end(Request& request) {
    cancelOthers(request, kNoAttempt);
    requests_.erase(request.arrival.id);
}

void RequestCompletion::giveUp(Request& request, RejectReason reason) {
    const RequestId id = request.arrival.id;
    if (request.open) {
        state_.actions.add(AbortResponse{id, reason});
    } else if (!request.mayHaveRun()) {
        // A Reject guarantees that nothing has run, for idempotent requests too.
        const Millis advice = retryAfter(0, request.deadlineAt - state_.now);
        state_.actions.add(Reject{id, kServiceUnavailable, advice, reason});
    } else {
        state_.actions.add(Fail{id, kBadGateway, reason});
    }
    end(request);
}

void RequestCompletion::giveUpUnlessInFlight(Request& request, RejectReason reason) {
    if (request.inFlightCount() == 0) giveUp(request, reason);
}

void RequestCompletion::timeOut(Request& request) {
    const RequestId id = request.arrival.id;
    if (request.open || !request.mayHaveRun()) {
        giveUp(request, RejectReason::deadlinePassed);
        return;
    }
    state_.actions.add(Fail{id, kGatewayTimeout, RejectReason::deadlinePassed});
    end(request);
}

void RequestCompletion::cancelOthers(Request& request, int except) {
    for (int i = 0; i < static_cast<int>(request.attempts.size()); ++i) {
        Attempt& attempt = request.attempt(i);
        if (i == except || !attempt.inFlight || attempt.cancelled) continue;
        attempt.cancelled = true;
        state_.actions.add(Cancel{request.arrival.id, i});
    }
}

}  // namespace beechpoint::dispatch
