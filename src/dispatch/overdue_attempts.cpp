#include "dispatch/overdue_attempts.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr double kOverdueTimes = 2;  // no hedged attempt before so many expected times
constexpr double kLastChanceTimes =
    3;  // nor while so many of the other host's times are left before the target
constexpr double kUnresponsiveTimes = 3;  // no answer for so many expected or mean times: unresponsive
constexpr Millis kUnresponsiveLeast = 400;
constexpr Millis kOverdueInterval = 15;  // between checks of an attempt that is overdue

Millis unresponsiveAt(const Attempt& attempt) {
    return attempt.sentAt + std::max(kUnresponsiveLeast, kUnresponsiveTimes * 1000 * attempt.expectedS);
}

}  // namespace

void OverdueAttempts::check(Request& request) {
    checkUnresponsiveHosts(request);
    hedge(request);
}

void OverdueAttempts::checkUnresponsiveHosts(const Request& request) {
    if (!state_.isEnabled(Mechanism::unresponsiveHostChecks)) return;
    for (const Attempt& attempt : request.attempts) {
        const bool waits = attempt.inFlight && !attempt.firstByte;
        if (!waits || state_.now < unresponsiveAt(attempt)) continue;
        HostSlot& slot = state_.hosts.at(attempt.host);
        const auto record = slot.records.find(state_.routeOf(request).id);
        const double silence = record == slot.records.end() ? 0 : record->second.silence(toNanos(state_.now));
        if (1000 * silence >= kUnresponsiveLeast) state_.health.checkUnresponsive(slot, state_.now);
    }
}

// The width test of the retry design at an age: an overdue attempt gets a hedged one where another host is expected to
// answer sooner than what is left of it.
void OverdueAttempts::hedge(Request& request) {
    if (!state_.isEnabled(Mechanism::hedging) || !request.hedgingAllowed()) return;
    if (request.pending || request.inFlightCount() != 1) return;
    const auto attempt = std::ranges::find(request.attempts, true, &Attempt::inFlight);
    const double age = (state_.now - attempt->sentAt) / 1000;
    if (attempt->firstByte || age < kOverdueTimes * attempt->expectedS) return;
    const RouteRecord& route = state_.routeOf(request);
    const double silence = state_.hosts.at(attempt->host).records[route.id].silence(toNanos(state_.now));
    const bool unresponsive = silence >= kUnresponsiveTimes * route.timeS(state_.now);
    if (!state_.isCalm(request) && !unresponsive) return;
    const std::vector<policy::Scored> choice = policy::passing(state_.ranked(request));
    if (choice.empty() || !pays(request, *attempt, choice, silence)) return;
    // Where a rule or budget stands against it, the attempt in flight simply goes on.
    (void)sender_.send(request, choice.front().server, choice, AttemptKind::hedged);
}

// Only an answer within the latency target earns its full value, so a hedged attempt goes no sooner than it must.
bool OverdueAttempts::pays(const Request& request, const Attempt& attempt,
                           const std::vector<policy::Scored>& choice, double silence) {
    const double age = (state_.now - attempt.sentAt) / 1000;
    const double gained = std::max(age, silence) - choice.front().t;
    if (gained < state_.routeOf(request).gainTargetS()) return false;
    const Millis other = 1000 * choice.front().t;
    if (state_.now + other / 2 > request.deadlineAt) return false;
    return state_.now + kLastChanceTimes * other >= request.latencyTargetAt;
}

Millis OverdueAttempts::nextCheckAt(const Request& request) const {
    const Millis now = state_.now;
    const bool mayHedge = request.hedgingAllowed() && !sender_.forbidden(request).has_value();
    Millis at = request.deadlineAt;
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.inFlight || attempt.firstByte) continue;
        const Millis unresponsive = unresponsiveAt(attempt);
        at = std::min(at, unresponsive > now ? unresponsive : now + kUnresponsiveLeast);
        if (!mayHedge) continue;
        const Millis overdue = attempt.sentAt + kOverdueTimes * 1000 * attempt.expectedS;
        at = std::min(at, std::max(overdue, now + kOverdueInterval));
    }
    return at;
}

}  // namespace beechpoint::dispatch
