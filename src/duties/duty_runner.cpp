#include "duties/duty_runner.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace beechpoint::duties {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kRequestTimeout = 408;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

bool isAccepted(int status) { return status >= kOk && status < 300; }

// Whether a retry of the same request would be rejected again.
bool isRejectedPermanently(int status) {
    const bool isClientError = status >= kFirstClientError && status < kFirstServerError;
    return isClientError && status != kTooManyRequests && status != kRequestTimeout;
}

}  // namespace

std::optional<DutyAction> DutyRunner::step(Millis now, const DutyContext& context,
                                           const std::optional<DutyWork>& work) {
    const bool isNewTerm = context.epoch != epoch_;
    if (!context.isHolder || isNewTerm) state_ = State::idle;
    epoch_ = context.epoch;
    if (state_ != State::idle || !canAct(now, context)) return std::nullopt;
    if (const auto intent = oldestOpenIntent(*context.table)) return call(context, *intent);
    if (!work) return std::nullopt;
    state_ = State::proposing;
    number_ = work->number;
    return ProposeIntent{++attempt_, {subject_, work->number, context.epoch, context.member, work->body}};
}

bool DutyRunner::needsWork(Millis now, const DutyContext& context) const {
    const bool isIdle = state_ == State::idle || context.epoch != epoch_;
    return isIdle && canAct(now, context) && !oldestOpenIntent(*context.table);
}

std::optional<DutyAction> DutyRunner::onProposed(Millis now, const DutyContext& context,
                                                 std::uint64_t attempt, const ProposalResult& result) {
    if (state_ != State::proposing || attempt != attempt_) return std::nullopt;
    state_ = State::idle;
    if (!result || result->outcome == ProposalOutcome::stale) {
        backOff(now);
        return std::nullopt;
    }
    if (result->outcome == ProposalOutcome::tooLarge) settledNumber_ = number_;  // it can never be sent
    const bool isInTable =
        result->outcome == ProposalOutcome::accepted || result->outcome == ProposalOutcome::recorded;
    if (!isInTable || result->intent.state != IntentState::open) return std::nullopt;
    if (context.epoch != epoch_ || !canAct(now, context)) return std::nullopt;
    return call(context, result->intent);
}

std::optional<DutyAction> DutyRunner::onCalled(Millis now, std::uint64_t attempt, int status) {
    if (state_ != State::calling || attempt != attempt_) return std::nullopt;
    state_ = State::idle;
    lastStatus_ = status;
    if (status == kConflict) {
        rejectedToken_ = std::max(rejectedToken_, epoch_);
        return std::nullopt;
    }
    const bool isFinal = isAccepted(status) || isRejectedPermanently(status);
    if (!isFinal) {
        if (status == 0) timeout_ = std::min(2 * timeout_, kMaxTimeout);
        backOff(now);
        return std::nullopt;
    }
    resetBackoff();
    state_ = State::settling;
    const IntentState outcome = isAccepted(status) ? IntentState::done : IntentState::refused;
    return SettleIntent{++attempt_, {subject_, number_, outcome}};
}

void DutyRunner::onSettled(Millis now, std::uint64_t attempt, bool recorded) {
    if (state_ != State::settling || attempt != attempt_) return;
    state_ = State::idle;
    if (recorded)
        settledNumber_ = number_;
    else
        backOff(now);
}

bool DutyRunner::canAct(Millis now, const DutyContext& context) const {
    if (!context.isHolder || !context.fresh || !context.table) return false;
    if (context.epoch <= rejectedToken_ || now < retryAt_) return false;
    return !isWithinTakeoverDelay(now, context);
}

// If the subject has no intent, no member has acted on it yet and no delay is needed.
bool DutyRunner::isWithinTakeoverDelay(Millis now, const DutyContext& context) const {
    const bool isNew = now - context.holderSince < takeoverDelay_;
    return isNew && !intentsOf(*context.table, subject_).empty();
}

std::optional<Intent> DutyRunner::oldestOpenIntent(const Table& table) const {
    for (Intent& intent : intentsOf(table, subject_)) {
        const bool isSettled = settledNumber_ && intent.number <= *settledNumber_;
        if (intent.state == IntentState::open && !isSettled) return std::move(intent);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> DutyRunner::newestNumber(const Table& table) const {
    const std::vector<Intent> intents = intentsOf(table, subject_);
    if (intents.empty()) return settledNumber_;
    return std::max(intents.back().number, settledNumber_.value_or(0));
}

DutyAction DutyRunner::call(const DutyContext& context, const Intent& intent) {
    state_ = State::calling;
    number_ = intent.number;
    ++calls_;
    return CallPlatform{++attempt_,     subject_,    intent.number, context.epoch,
                        context.member, intent.body, timeout_};
}

void DutyRunner::backOff(Millis now) {
    retryAt_ = now + backoff_ * (0.5 + random_());
    backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

void DutyRunner::resetBackoff() {
    backoff_ = kInitialBackoff;
    timeout_ = kInitialTimeout;
}

}  // namespace beechpoint::duties
