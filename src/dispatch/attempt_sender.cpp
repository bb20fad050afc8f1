#include "dispatch/attempt_sender.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace beechpoint::dispatch {

namespace {

using Scores = std::vector<coordinator::policy::Scored>;

constexpr int kMaxFailedConnects = 4;  // attempts that reached no host, in addition to maxAttempts
constexpr int kMaxPriority = 9;

// The Priority header's value for a class. In both, 0 is the most urgent.
int hostPriority(int priorityClass) { return std::clamp(1 + 2 * priorityClass, 0, kMaxPriority); }

// The host's expected time to the first event, as used in its score.
double expectedTimeS(const Scores& scores, int host) {
    double expected = 0;
    for (const coordinator::policy::Scored& scored : scores)
        if (scored.server == host) expected = scored.t;
    return expected;
}

}  // namespace

AttemptSender::AttemptSender(DispatchState& state) : state_(state), hedges_(state.settings.retryWindow) {}

void AttemptSender::requestArrived(const Request& request) {
    state_.serviceOf(request).budget.recordRequest(state_.now);
    if (request.idempotent()) hedges_.recordIdempotentRequest(state_.now);
}

std::optional<RejectReason> AttemptSender::forbidden(const Request& request) const {
    const int maxAttempts = request.arrival.maxAttempts;
    if (state_.now >= request.deadlineAt) return RejectReason::deadlinePassed;
    if (request.hostsUsed() >= maxAttempts) return RejectReason::attemptLimit;
    const int attempts = static_cast<int>(request.attempts.size());
    if (attempts >= maxAttempts + kMaxFailedConnects) return RejectReason::connectLimit;
    if (!request.idempotent() && request.mayHaveRun()) return RejectReason::mayRunTwice;
    return std::nullopt;
}

// Both budgets are checked before either is charged.
std::optional<RejectReason> AttemptSender::spendBudgets(Request& request, ServiceState& service,
                                                        AttemptKind kind) {
    const bool hedged = kind == AttemptKind::hedged;
    const bool retry = request.mayHaveArrived();
    if (hedged && !hedges_.allows(state_.now)) return RejectReason::hedgeBudget;
    if (retry && !service.budget.allows(state_.now)) {
        state_.actions.log("retry budget spent", fmt::format("service {}", request.service));
        return RejectReason::retryBudget;
    }
    if (retry) service.budget.spend(state_.now);
    if (hedged) hedges_.spend(state_.now);
    return std::nullopt;
}

std::optional<RejectReason> AttemptSender::send(Request& request, int host, const Scores& scores,
                                                AttemptKind kind) {
    if (const auto reason = forbidden(request)) return reason;
    ServiceState& service = state_.serviceOf(request);
    if (const auto reason = spendBudgets(request, service, kind)) return reason;

    const HostSlot& slot = state_.hosts.at(host);
    const int number = static_cast<int>(request.attempts.size());
    const bool engine = service.load.engine;
    const double tokens = engine ? state_.selection.tokensToPrefill(request, service, host) : 0;
    state_.attempts.recordSend(request, number, host, tokens, state_.now);

    Attempt attempt;
    attempt.host = host;
    attempt.instance = slot.host.instanceId;
    attempt.sentAt = state_.now;
    attempt.expectedS = expectedTimeS(scores, host);
    request.attempts.push_back(std::move(attempt));
    request.pending = false;

    Send action;
    action.id = request.arrival.id;
    action.attempt = number;
    action.instanceId = slot.host.instanceId;
    action.address = slot.host.address;
    action.service = request.service;
    action.timeout = request.deadlineAt - state_.now;
    action.priority = hostPriority(request.arrival.priorityClass);
    action.engine = engine;
    action.resume = request.open;
    if (request.open) action.lastEventId = request.lastEventId;
    state_.actions.add(std::move(action));
    return std::nullopt;
}

}  // namespace beechpoint::dispatch
