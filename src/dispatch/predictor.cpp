#include "dispatch/predictor.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kAheadWeight = 0.35;  // increase of t per attempt ahead, at a host that prefills no prompts
constexpr double kPriorFailureWeight = 2;      // weight of the host's failure rate over all routes
constexpr double kMinBaseS = 0.002;            // minimum of a time without its prefill
constexpr double kMinRemainingFraction = 0.3;  // of the waiting prefill work, however long it has waited
constexpr double kPriorSpeedWeight = 6;        // weight of the average host's speed as the prior
constexpr double kMinPrefillTokens = 1500;     // with fewer the speed cannot be measured
constexpr double kMinSlowness = 0.4, kMaxSlowness = 3;
constexpr double kWarmingUpSlowness = 1.5;  // of a host that is warming up and not measured yet

// Without reports, each other gateway is assumed to have as many attempts waiting as this one has on average.
double aheadWeight(const ServiceLoad& load) {
    if (load.peerLoadKnown) return kAheadWeight;
    const double others = (load.gateways - 1) * load.meanWaitingPerHost / (load.meanWaitingPerHost + 1);
    return kAheadWeight * (1 + others);
}

}  // namespace

double Predictor::backlog(const HostSlot& slot, const ServiceLoad& load, Millis now) {
    const double workS = std::max(0.0, slot.waitingPrefillS + slot.peerPrefillS);
    if (!load.peerLoadKnown) return workS;
    return std::max(kMinRemainingFraction * workS, workS - (now - slot.progressAt) / 1000);
}

double Predictor::prefillS(const HostSlot& slot, const ServiceLoad& load, double tokens, Millis now) {
    const double slowness = load.hostSpeed ? slot.slowness.value(toNanos(now), 1, kPriorSpeedWeight) : 1;
    return slowness * load.rate.seconds(tokens);
}

double Predictor::timeS(const HostSlot& slot, const RouteRecord& route, const ServiceLoad& load,
                        double tokens, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double slowness = now < slot.warmingUpUntil ? kWarmingUpSlowness : 1;
    const double ratio = load.hostSpeed ? slot.timeRatio.value(at, slowness) : slowness;
    const double prior = route.timeS(now) * ratio;
    const auto record = slot.records.find(route.id);
    const bool measured = record != slot.records.end();
    const double baseS = measured ? record->second.t.value(at, prior) : prior;
    const int ahead = slot.waiting + slot.peerWaiting;
    const double t = load.engine ? baseS + backlog(slot, load, now) + prefillS(slot, load, tokens, now)
                                 : baseS * (1 + aheadWeight(load) * ahead);
    return std::max(t, measured ? record->second.silence(at) : 0);
}

double Predictor::failureRate(const HostSlot& slot, RouteId route, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double prior = slot.failures.value(at, 0, kPriorFailureWeight);
    const auto record = slot.records.find(route);
    return record == slot.records.end() ? prior : record->second.f.value(at, prior, kPriorFailureWeight);
}

void Predictor::recordSend(HostSlot& slot, RouteId route, const SentAttempt& attempt) {
    if (slot.waiting + slot.peerWaiting == 0) slot.progressAt = attempt.sentAt;
    slot.loadChanged = true;
    ++slot.inFlight;
    ++slot.waiting;
    slot.waitingPrefillS += attempt.prefillS;
    slot.records[route].out.insert(toNanos(attempt.sentAt));
}

void Predictor::endWaiting(HostSlot& slot, RouteId route, SentAttempt& attempt, Millis now) {
    if (!attempt.awaitingFirstByte) return;
    attempt.awaitingFirstByte = false;
    slot.loadChanged = true;
    slot.progressAt = now;
    --slot.waiting;
    slot.waitingPrefillS = slot.waiting == 0 ? 0 : slot.waitingPrefillS - attempt.prefillS;
    std::multiset<coordinator::policy::Nanos>& sendTimes = slot.records[route].out;
    if (const auto found = sendTimes.find(toNanos(attempt.sentAt)); found != sendTimes.end())
        sendTimes.erase(found);
}

void Predictor::recordTime(HostSlot& slot, RouteRecord& route, ServiceLoad& load, const SentAttempt& attempt,
                           double elapsedS, bool isLowerBound, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double totalPrefillS = attempt.prefillAheadS + attempt.prefillS;
    const double baseS = load.engine ? std::max(kMinBaseS, elapsedS - totalPrefillS)
                                     : elapsedS / (1 + aheadWeight(load) * attempt.attemptsAhead);
    const double routeS = route.timeS(now);
    if (isLowerBound && baseS <= routeS) return;
    coordinator::policy::Record& record = slot.records[route.id];
    slot.timeRatio.add(at, baseS / routeS);
    record.t.add(at, baseS);
    if (isLowerBound) return;
    route.time.add(at, baseS);
    record.lastServed = at;
    record.keepTime(elapsedS);
    if (!load.engine || attempt.attemptsAhead > 0) return;
    load.rate.add(attempt.prefillTokens, elapsedS);
    if (attempt.prefillTokens < kMinPrefillTokens) return;
    const double slowness = std::clamp((elapsedS - routeS) / load.rate.seconds(attempt.prefillTokens),
                                       kMinSlowness, kMaxSlowness);
    slot.slowness.add(at, slowness);
    slot.newSlowness = slowness;
}

void Predictor::recordOutcome(HostSlot& slot, RouteId route, bool served, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    slot.records[route].f.add(at, !served);
    slot.failures.add(at, !served);
}

}  // namespace beechpoint::dispatch
