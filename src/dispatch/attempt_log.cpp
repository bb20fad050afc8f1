#include "dispatch/attempt_log.hpp"

namespace beechpoint::dispatch {

void AttemptLog::sent(const Request& request, int number, int host, double tokens, Millis now) {
    HostSlot& slot = hosts_.at(host);
    SentAttempt sent;
    sent.host = host;
    sent.service = request.service;
    sent.route = request.arrival.route;
    sent.sentAt = now;
    ServiceLoad& load = services_.at(request.service, now).load;
    sent.tokens = tokens;
    sent.workS = load.engine ? Predictor::prefillS(slot, load, tokens, now) : 0;
    sent.ahead = slot.waiting + slot.othersWaiting;
    sent.aheadS = Predictor::backlog(slot, load, now);
    Predictor::sent(slot, routes_.use(sent.route, now).id, sent);
    slot.sends.sent(now);
    sent_.emplace(Key{request.arrival.id, number}, std::move(sent));
}

bool AttemptLog::firstByte(const AttemptFirstByte& first, const Request* request, Millis now) {
    const auto found = sent_.find({first.id, first.attempt});
    if (found == sent_.end()) return false;
    SentAttempt& sent = found->second;
    const bool proper = !request || !request->attempt(first.attempt).unusable;
    const bool streaming = request && request->streaming();
    HostSlot& slot = hosts_.at(sent.host);
    RouteRecord& route = routes_.use(sent.route, now);
    if (streaming && proper && sent.waiting)
        Predictor::learnTime(slot, route, services_.at(sent.service, now).load, sent,
                             (now - sent.sentAt) / 1000, false, now);
    if (streaming) Predictor::waitingEnded(slot, route.id, sent, now);
    health_.markReachable(slot, now);
    return true;
}

bool AttemptLog::ended(const AttemptEnded& ended, const Request* request, Millis now) {
    const auto found = sent_.find({ended.id, ended.attempt});
    if (found == sent_.end()) return false;
    SentAttempt sent = std::move(found->second);
    sent_.erase(found);
    if (ended.warmupLeft > 0)
        health_.markWarmingUp(WarmupReported{hosts_.at(sent.host).host.instanceId, ended.warmupLeft}, now);
    learn(sent, ended.outcome, request && request->attempt(ended.attempt).unusable, now);
    return true;
}

void AttemptLog::learn(SentAttempt& sent, Outcome outcome, bool unusable, Millis now) {
    HostSlot& slot = hosts_.at(sent.host);
    RouteRecord& route = routes_.use(sent.route, now);
    ServiceLoad& load = services_.at(sent.service, now).load;
    const double took = (now - sent.sentAt) / 1000;
    const bool served = outcome == Outcome::served && !unusable;
    const bool givenUp = outcome == Outcome::cancelled || outcome == Outcome::timedOut;
    if (sent.waiting && (served || givenUp))
        Predictor::learnTime(slot, route, load, sent, took, givenUp, now);
    Predictor::waitingEnded(slot, route.id, sent, now);
    --slot.inFlight;
    if (served) health_.markReachable(slot, now);
    switch (outcome) {
        case Outcome::cancelled:
            if (unusable) Predictor::learnEnd(slot, route.id, false, now);
            break;
        case Outcome::rejected:
        case Outcome::noCapacity:
            health_.markFull(slot, route, now);
            break;
        case Outcome::misdirected:
            health_.markEnded(slot, now);
            break;
        case Outcome::notConnected:
            health_.markPartitioned(slot, ConnectionFailure::notConnected, now);
            break;
        case Outcome::resetBeforeAnswer:
            health_.markPartitioned(slot, ConnectionFailure::reset, now);
            [[fallthrough]];
        default:
            Predictor::learnEnd(slot, route.id, served, now);
    }
}

}  // namespace beechpoint::dispatch
