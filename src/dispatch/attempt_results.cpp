#include "dispatch/attempt_results.hpp"

#include <fmt/format.h>

namespace beechpoint::dispatch {

namespace {

constexpr int kNoAttempt = -1;

bool isSuccess(int status) { return status >= 200 && status < 300; }

// Statuses by which a client may assume that the request did not run. Only the gateway itself may guarantee
// that.
bool impliesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool isUnusable(const AttemptHead& head, const Request& request) {
    const bool success = isSuccess(head.status);
    const bool unsealed = success && !head.sealed;
    const bool failure = head.status >= 500 && request.idempotent();
    const bool cannotResume = request.open && !(success && head.eventStream);
    return unsealed || impliesNotRun(head.status) || failure || cannotResume;
}

// Whether the answer is relayed later: a stream with its first event, a short answer to an idempotent request
// once it is complete, so that the request can still fail over.
bool isBuffered(const AttemptHead& head, const Request& request) {
    const bool shortAnswer = head.bodyBytes && *head.bodyBytes <= kMaxBufferedBytes;
    return (request.streaming() && isSuccess(head.status)) || (request.idempotent() && shortAnswer);
}

}  // namespace

void AttemptResults::handle(const AttemptHead& head) {
    Request* const request = requests_.findWithAttempt(head.id, head.attempt);
    if (!request) return;
    Attempt& attempt = request->attempt(head.attempt);
    if (!attempt.inFlight || attempt.cancelled || head.rejected) return;
    attempt.status = head.status;
    attempt.unusable = isUnusable(head, *request);
    if (attempt.unusable || request->open) return;  // a resumed stream continues with its first event
    if (isBuffered(head, *request)) return;
    completion_.relay(*request, head.attempt);
    checks_.schedule(head.id);
}

void AttemptResults::handle(const AttemptFirstByte& first) {
    Request* const request = requests_.findWithAttempt(first.id, first.attempt);
    const bool known = state_.attempts.recordFirstByte(first, request, state_.now);
    if (!known || !request) return;
    Attempt& attempt = request->attempt(first.attempt);
    attempt.firstByte = true;
    if (!request->streaming() || attempt.unusable || attempt.cancelled || attempt.status == 0) return;
    completion_.relay(*request, first.attempt);
    checks_.schedule(first.id);
}

void AttemptResults::handle(const AttemptEnded& ended) {
    Request* const request = requests_.findWithAttempt(ended.id, ended.attempt);
    const bool known = state_.attempts.recordEnd(ended, request, state_.now);
    if (!known || !request) return;
    Attempt& attempt = request->attempt(ended.attempt);
    attempt.inFlight = false;
    attempt.mayHaveArrived = ended.outcome != Outcome::notConnected && ended.outcome != Outcome::noCapacity;
    attempt.misdirected = ended.outcome == Outcome::misdirected;
    attempt.mayHaveRun = attempt.mayHaveArrived && !attempt.misdirected && ended.outcome != Outcome::rejected;
    if (!ended.lastEventId.empty() && request->relayed == ended.attempt)
        request->lastEventId = ended.lastEventId;
    conclude(*request, ended);
    checks_.schedule(ended.id);
}

void AttemptResults::conclude(Request& request, const AttemptEnded& ended) {
    const Attempt& attempt = request.attempt(ended.attempt);
    const bool complete = ended.outcome == Outcome::served || ended.outcome == Outcome::hostError;
    const bool proper = complete && attempt.status > 0 && !attempt.unusable && !attempt.cancelled;
    if (proper) {
        completion_.relay(request, ended.attempt);
        completion_.end(request);
        return;
    }
    const bool relayed = request.relayed == ended.attempt;
    if (!relayed && request.relayed >= 0) return;  // another attempt's answer is being relayed
    if (relayed && !resumesAfter(request, ended.continuable)) return;
    failover_.retry(request, attempt.host);
}

// The relayed answer ended early. True: the request resumes at another host. False: it was given up and
// erased.
bool AttemptResults::resumesAfter(Request& request, bool continuable) {
    request.relayed = kNoAttempt;
    if (!request.resumable() || !continuable) {
        completion_.giveUp(request, RejectReason::mayRunTwice);
        return false;
    }
    state_.actions.log("stream resumed",
                       fmt::format("route {} after event '{}'", request.arrival.route, request.lastEventId));
    return true;
}

}  // namespace beechpoint::dispatch
