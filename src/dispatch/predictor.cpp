#include "dispatch/predictor.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kAheadWeight = 0.35;    // growth of t for each attempt ahead, where no prompts are read
constexpr double kPriorFailures = 2;     // weight of the host's failures over all routes
constexpr double kLeastNormalS = 0.002;  // what is left of a time when its reading is taken off, at least
constexpr double kColdSlowness = 1.5;    // of a host that is cold and unheard

double aheadWeight(const ServiceLoad& load) {
    const double others = (load.gateways - 1) * load.usualWaiting / (load.usualWaiting + 1);
    return kAheadWeight * (1 + others);
}

}  // namespace

double Predictor::timeS(const HostSlot& slot, const RouteRecord& route, const ServiceLoad& load,
                        double tokens, Millis now) {
    const firkeel::policy::Nanos at = toNanos(now);
    const double slowness = now < slot.coldUntil ? kColdSlowness : 1;
    const double prior = route.timeS(now) * slot.ratio.value(at, slowness);
    const auto record = slot.records.find(route.id);
    const bool heard = record != slot.records.end();
    const double normal = heard ? record->second.t.value(at, prior) : prior;
    const double t = load.engine ? normal + (slot.waitingTokens + tokens) / load.rate.tokensPerSecond()
                                 : normal * (1 + aheadWeight(load) * slot.waiting);
    return std::max(t, heard ? record->second.silence(at) : 0);
}

double Predictor::failureShare(const HostSlot& slot, RouteId route, Millis now) {
    const firkeel::policy::Nanos at = toNanos(now);
    const double prior = slot.failures.value(at, 0, kPriorFailures);
    const auto record = slot.records.find(route);
    return record == slot.records.end() ? prior : record->second.f.value(at, prior, kPriorFailures);
}

void Predictor::sent(HostSlot& slot, RouteId route, const Sent& attempt) {
    ++slot.out;
    ++slot.waiting;
    slot.waitingTokens += attempt.tokens;
    slot.records[route].out.insert(toNanos(attempt.sentAt));
}

void Predictor::waitingEnded(HostSlot& slot, RouteId route, Sent& attempt) {
    if (!attempt.waiting) return;
    attempt.waiting = false;
    --slot.waiting;
    slot.waitingTokens = slot.waiting == 0 ? 0 : slot.waitingTokens - attempt.tokens;
    std::multiset<firkeel::policy::Nanos>& out = slot.records[route].out;
    if (const auto one = out.find(toNanos(attempt.sentAt)); one != out.end()) out.erase(one);
}

void Predictor::learnTime(HostSlot& slot, RouteRecord& route, ServiceLoad& load, const Sent& attempt,
                          double tookS, bool atLeast, Millis now) {
    const firkeel::policy::Nanos at = toNanos(now);
    const double reading = (attempt.aheadTokens + attempt.tokens) / load.rate.tokensPerSecond();
    const double normal = load.engine ? std::max(kLeastNormalS, tookS - reading)
                                      : tookS / (1 + aheadWeight(load) * attempt.ahead);
    const double usual = route.timeS(now);
    if (atLeast && normal <= usual) return;
    firkeel::policy::Record& record = slot.records[route.id];
    slot.ratio.add(at, normal / usual);
    record.t.add(at, normal);
    if (atLeast) return;
    route.time.add(at, normal);
    record.lastServed = at;
    record.keepTime(tookS);
    if (load.engine && attempt.ahead == 0) load.rate.add(attempt.tokens, tookS);
}

void Predictor::learnEnd(HostSlot& slot, RouteId route, bool served, Millis now) {
    const firkeel::policy::Nanos at = toNanos(now);
    slot.records[route].f.add(at, !served);
    slot.failures.add(at, !served);
}

}  // namespace beechpoint::dispatch
