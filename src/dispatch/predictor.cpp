#include "dispatch/predictor.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kAheadWeight =
    0.35;  // growth of t for each attempt ahead, of a host that prefills no prompts
constexpr double kPriorFailureWeight = 2;  // weight of the host's failures over all routes
constexpr double kMinNormalS = 0.002;      // what is left of a time without its prefill, at least
constexpr double kMinRemainingPart =
    0.3;                                 // part of what waits that counts as left, however long it has waited
constexpr double kPriorSpeedWeight = 6;  // weight of the average host's speed
constexpr double kMinPrefillTokens = 1500;  // tokens: with fewer the speed can't be measured
constexpr double kFastestHost = 0.4, kSlowestHost = 3;
constexpr double kWarmingUpSlowness = 1.5;  // of a host that is warming up and not measured yet

// Without reports of the others they count with as much waiting as this gateway has usually.
double aheadWeight(const ServiceLoad& load) {
    if (load.othersReported) return kAheadWeight;
    const double others = (load.gateways - 1) * load.usualWaiting / (load.usualWaiting + 1);
    return kAheadWeight * (1 + others);
}

}  // namespace

double Predictor::backlog(const HostSlot& slot, const ServiceLoad& load, Millis now) {
    const double work = std::max(0.0, slot.waitingS + slot.othersS);
    if (!load.othersReported) return work;
    return std::max(kMinRemainingPart * work, work - (now - slot.progressAt) / 1000);
}

double Predictor::prefillS(const HostSlot& slot, const ServiceLoad& load, double tokens, Millis now) {
    const double slowness = load.hostSpeed ? slot.slowness.value(toNanos(now), 1, kPriorSpeedWeight) : 1;
    return slowness * load.rate.seconds(tokens);
}

double Predictor::timeS(const HostSlot& slot, const RouteRecord& route, const ServiceLoad& load,
                        double tokens, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double slowness = now < slot.warmingUpUntil ? kWarmingUpSlowness : 1;
    const double ratio = load.hostSpeed ? slot.ratio.value(at, slowness) : slowness;
    const double prior = route.timeS(now) * ratio;
    const auto record = slot.records.find(route.id);
    const bool measured = record != slot.records.end();
    const double normal = measured ? record->second.t.value(at, prior) : prior;
    const int ahead = slot.waiting + slot.othersWaiting;
    const double t = load.engine ? normal + backlog(slot, load, now) + prefillS(slot, load, tokens, now)
                                 : normal * (1 + aheadWeight(load) * ahead);
    return std::max(t, measured ? record->second.silence(at) : 0);
}

double Predictor::failureRate(const HostSlot& slot, RouteId route, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double prior = slot.failures.value(at, 0, kPriorFailureWeight);
    const auto record = slot.records.find(route);
    return record == slot.records.end() ? prior : record->second.f.value(at, prior, kPriorFailureWeight);
}

void Predictor::sent(HostSlot& slot, RouteId route, const SentAttempt& attempt) {
    if (slot.waiting + slot.othersWaiting == 0) slot.progressAt = attempt.sentAt;
    slot.loadChanged = true;
    ++slot.inFlight;
    ++slot.waiting;
    slot.waitingS += attempt.workS;
    slot.records[route].out.insert(toNanos(attempt.sentAt));
}

void Predictor::waitingEnded(HostSlot& slot, RouteId route, SentAttempt& attempt, Millis now) {
    if (!attempt.waiting) return;
    attempt.waiting = false;
    slot.loadChanged = true;
    slot.progressAt = now;
    --slot.waiting;
    slot.waitingS = slot.waiting == 0 ? 0 : slot.waitingS - attempt.workS;
    std::multiset<coordinator::policy::Nanos>& out = slot.records[route].out;
    if (const auto one = out.find(toNanos(attempt.sentAt)); one != out.end()) out.erase(one);
}

void Predictor::learnTime(HostSlot& slot, RouteRecord& route, ServiceLoad& load, const SentAttempt& attempt,
                          double tookS, bool atLeast, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    const double prefill = attempt.aheadS + attempt.workS;
    const double normal = load.engine ? std::max(kMinNormalS, tookS - prefill)
                                      : tookS / (1 + aheadWeight(load) * attempt.ahead);
    const double usual = route.timeS(now);
    if (atLeast && normal <= usual) return;
    coordinator::policy::Record& record = slot.records[route.id];
    slot.ratio.add(at, normal / usual);
    record.t.add(at, normal);
    if (atLeast) return;
    route.time.add(at, normal);
    record.lastServed = at;
    record.keepTime(tookS);
    if (!load.engine || attempt.ahead > 0) return;
    load.rate.add(attempt.tokens, tookS);
    if (attempt.tokens < kMinPrefillTokens) return;
    const double slowness =
        std::clamp((tookS - usual) / load.rate.seconds(attempt.tokens), kFastestHost, kSlowestHost);
    slot.slowness.add(at, slowness);
    slot.newSlowness = slowness;
}

void Predictor::learnEnd(HostSlot& slot, RouteId route, bool served, Millis now) {
    const coordinator::policy::Nanos at = toNanos(now);
    slot.records[route].f.add(at, !served);
    slot.failures.add(at, !served);
}

}  // namespace beechpoint::dispatch
