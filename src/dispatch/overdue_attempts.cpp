#include "dispatch/overdue_attempts.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace policy = coordinator::policy;

namespace {

constexpr double kOverdueFactor = 2;  // expected times after which an attempt may be hedged
// No hedging earlier than this multiple of the other host's time before the latency target.
constexpr double kHedgeLeadFactor = 3;
constexpr double kUnresponsiveFactor = 3;  // expected or mean times without an answer: unresponsive
constexpr Millis kMinUnresponsiveTime = 400;
constexpr Millis kOverdueInterval = 15;  // between checks of an overdue attempt

Millis unresponsiveAt(const Attempt& attempt) {
    return attempt.sentAt + std::max(kMinUnresponsiveTime, kUnresponsiveFactor * 1000 * attempt.expectedS);
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
        if (1000 * silence >= kMinUnresponsiveTime) state_.health.checkUnresponsive(slot, state_.now);
    }
}

// The width test of the retry design, applied to an attempt in flight: an overdue attempt is hedged if
// another host is expected to answer earlier.
void OverdueAttempts::hedge(Request& request) {
    if (!state_.isEnabled(Mechanism::hedging) || !request.hedgingAllowed()) return;
    if (request.pending || request.inFlightCount() != 1) return;
    const auto attempt = std::ranges::find(request.attempts, true, &Attempt::inFlight);
    const double age = (state_.now - attempt->sentAt) / 1000;
    if (attempt->firstByte || age < kOverdueFactor * attempt->expectedS) return;
    const RouteRecord& route = state_.routeOf(request);
    const double silence = state_.hosts.at(attempt->host).records[route.id].silence(toNanos(state_.now));
    const bool unresponsive = silence >= kUnresponsiveFactor * route.timeS(state_.now);
    if (!state_.hasLatencyHeadroom(request) && !unresponsive) return;
    const std::vector<policy::Scored> choice = policy::passing(state_.ranked(request));
    if (choice.empty() || !isWorthHedging(request, *attempt, choice, silence)) return;
    // If a rule or budget forbids the hedged attempt, the attempt in flight continues alone.
    (void)sender_.send(request, choice.front().server, choice, AttemptKind::hedged);
}

// Only an answer within the latency target has its full value, so a hedged attempt is sent as late as that
// allows.
bool OverdueAttempts::isWorthHedging(const Request& request, const Attempt& attempt,
                                     const std::vector<policy::Scored>& choice, double silence) {
    const double age = (state_.now - attempt.sentAt) / 1000;
    const double gained = std::max(age, silence) - choice.front().t;
    if (gained < state_.routeOf(request).gainTargetS()) return false;
    const Millis other = 1000 * choice.front().t;
    if (state_.now + other / 2 > request.deadlineAt) return false;
    return state_.now + kHedgeLeadFactor * other >= request.latencyTargetAt;
}

Millis OverdueAttempts::nextCheckAt(const Request& request) const {
    const Millis now = state_.now;
    const bool mayHedge = request.hedgingAllowed() && !sender_.forbidden(request).has_value();
    Millis at = request.deadlineAt;
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.inFlight || attempt.firstByte) continue;
        const Millis unresponsive = unresponsiveAt(attempt);
        at = std::min(at, unresponsive > now ? unresponsive : now + kMinUnresponsiveTime);
        if (!mayHedge) continue;
        const Millis overdue = attempt.sentAt + kOverdueFactor * 1000 * attempt.expectedS;
        at = std::min(at, std::max(overdue, now + kOverdueInterval));
    }
    return at;
}

}  // namespace beechpoint::dispatch
