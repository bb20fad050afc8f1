#include "dispatch/attempt_log.hpp"

namespace beechpoint::dispatch {

void AttemptLog::recordSend(const Request& request, int number, int host, double tokens, Millis now) {
    HostSlot& slot = hosts_.at(host);
    SentAttempt sent;
    sent.host = host;
    sent.service = request.service;
    sent.route = request.arrival.route;
    sent.sentAt = now;
    ServiceLoad& load = services_.getOrCreate(request.service, now).load;
    sent.prefillTokens = tokens;
    sent.prefillS = load.engine ? Predictor::prefillS(slot, load, tokens, now) : 0;
    sent.attemptsAhead = slot.waiting + slot.peerWaiting;
    sent.prefillAheadS = Predictor::backlog(slot, load, now);
    Predictor::recordSend(slot, routes_.use(sent.route, now).id, sent);
    slot.slowStartLog.recordSend(now);
    inFlight_.emplace(Key{request.arrival.id, number}, std::move(sent));
}

bool AttemptLog::recordFirstByte(const AttemptFirstByte& first, const Request* request, Millis now) {
    const auto found = inFlight_.find({first.id, first.attempt});
    if (found == inFlight_.end()) return false;
    SentAttempt& sent = found->second;
    const bool usable = !request || !request->attempt(first.attempt).unusable;
    const bool streaming = request && request->streaming();
    HostSlot& slot = hosts_.at(sent.host);
    RouteRecord& route = routes_.use(sent.route, now);
    if (streaming && usable && sent.awaitingFirstByte)
        Predictor::recordTime(slot, route, services_.getOrCreate(sent.service, now).load, sent,
                              (now - sent.sentAt) / 1000, false, now);
    if (streaming) Predictor::endWaiting(slot, route.id, sent, now);
    health_.markReachable(slot, now);
    return true;
}

bool AttemptLog::recordEnd(const AttemptEnded& ended, const Request* request, Millis now) {
    const auto found = inFlight_.find({ended.id, ended.attempt});
    if (found == inFlight_.end()) return false;
    SentAttempt sent = std::move(found->second);
    inFlight_.erase(found);
    if (ended.warmupLeft > 0)
        health_.markWarmingUp(WarmupReported{hosts_.at(sent.host).host.instanceId, ended.warmupLeft}, now);
    updateStatistics(sent, ended.outcome, request && request->attempt(ended.attempt).unusable, now);
    return true;
}

void AttemptLog::updateStatistics(SentAttempt& sent, Outcome outcome, bool unusable, Millis now) {
    HostSlot& slot = hosts_.at(sent.host);
    RouteRecord& route = routes_.use(sent.route, now);
    ServiceLoad& load = services_.getOrCreate(sent.service, now).load;
    const double elapsedS = (now - sent.sentAt) / 1000;
    const bool served = outcome == Outcome::served && !unusable;
    const bool abandoned = outcome == Outcome::cancelled || outcome == Outcome::timedOut;
    if (sent.awaitingFirstByte && (served || abandoned))
        Predictor::recordTime(slot, route, load, sent, elapsedS, abandoned, now);
    Predictor::endWaiting(slot, route.id, sent, now);
    --slot.inFlight;
    if (served) health_.markReachable(slot, now);
    switch (outcome) {
        case Outcome::cancelled:
            if (unusable) Predictor::recordOutcome(slot, route.id, false, now);
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
            Predictor::recordOutcome(slot, route.id, served, now);
    }
}

}  // namespace beechpoint::dispatch
