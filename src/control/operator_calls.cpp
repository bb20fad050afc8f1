#include "control/operator_calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "configuration/cluster_identity.hpp"
#include "configuration/editing.hpp"
#include "control/operator_answers.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kBarrierRetryAfter = 25;

bool hasRole(const ReplicaState& replica, const OperatorCall& call) {
    if (!replica.table || !replica.inView) return false;
    return call.writes() ? replica.isHead : replica.isTail;
}

const ChainEnd& chainEndFor(const ReplicaState& replica, const OperatorCall& call) {
    return call.writes() ? replica.head : replica.tail;
}

std::string deadlineReason(const ReplicaState& replica, const OperatorCall& call) {
    if (!hasRole(replica, call)) return "no member that could answer is in reach";
    return call.writes() ? "the write can't be kept by enough members at the moment"
                         : "whether this is the newest configuration can't be told at the moment";
}

}  // namespace

void OperatorCalls::handle(Millis now, const ReplicaState& replica, OperatorEvent event,
                           std::vector<OperatorAction>& actions) {
    const Step step{now, replica, actions};
    std::visit([&](auto& what) { on(step, what); }, event);
    evaluateWaiting(step);
}

bool OperatorCalls::waiting() const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const PendingCall& pending) { return pending.state == State::waiting; });
}

// ---- Events

void OperatorCalls::on(const Step& step, CallReceived& event) {
    const std::size_t bytes = event.call.body.size();
    if (calls_.size() >= kMaxOperatorCalls || bodyBytes_ + bytes > kMaxOperatorBytes) {
        step.actions.emplace_back(unavailableAnswer(event.id, "too many calls are in hand"));
        return;
    }
    PendingCall pending;
    pending.id = event.id;
    pending.call = std::move(event.call);
    pending.deadline = step.now + kOperatorCallTimeout;
    bodyBytes_ += bytes;
    calls_.push_back(std::move(pending));
}

void OperatorCalls::on(const Step&, const ClientDisconnected& event) {
    const auto pending = std::find_if(calls_.begin(), calls_.end(),
                                      [&](const PendingCall& each) { return each.id == event.id; });
    if (pending == calls_.end()) return;
    pending->clientDisconnected = true;
    if (pending->state == State::waiting) forget(pending);
}

// Nothing to do: waiting calls are evaluated after every event.
void OperatorCalls::on(const Step&, const Reevaluate&) {}

void OperatorCalls::on(const Step& step, const ReadBarrierDone& event) {
    const auto pending = find(event.id, State::readBarrier);
    if (pending == calls_.end()) return;
    pending->state = State::waiting;
    if (pending->clientDisconnected) {
        forget(pending);
        return;
    }
    if (!event.passed || !step.replica.table) {
        pending->retryAt = step.now + kBarrierRetryAfter;
        return;
    }
    if (pending->call.writes()) {
        decideWrite(step, pending, TableFreshness::verifiedByReadBarrier);
        return;
    }
    finish(step, pending, configurationAnswer(pending->id, *step.replica.table));
}

void OperatorCalls::on(const Step& step, const WriteDone& event) {
    const auto pending = find(event.id, State::committing);
    if (pending == calls_.end()) return;
    switch (event.result) {
        case WriteResult::committed:
            committedWrites_++;
            step.actions.emplace_back(LogEvent{
                fmt::format("committed revision {} of {}", pending->revision, pending->call.target)});
            finish(step, pending, appliedAnswer(pending->id, pending->revision));
            break;
        case WriteResult::unknown:
            finish(step, pending,
                   unavailableAnswer(pending->id, "whether the change took effect is not known"));
            break;
        case WriteResult::notStarted:
            pending->state = State::waiting;
            if (pending->clientDisconnected) forget(pending);
            break;
    }
}

void OperatorCalls::on(const Step&, const DrainStarted&) { draining_ = true; }

// ---- Waiting calls

void OperatorCalls::evaluateWaiting(const Step& step) {
    // Invariant: writes start in order of arrival, one at a time.
    bool earlierWrite = std::any_of(calls_.begin(), calls_.end(), [](const PendingCall& pending) {
        return pending.call.writes() && pending.state != State::waiting;
    });
    for (auto next = calls_.begin(); next != calls_.end();) {
        const auto pending = next++;  // the call may be erased below
        if (pending->state != State::waiting || endWaiting(step, pending)) continue;
        if (!pending->call.writes()) {
            if (mayProceed(step, pending)) startReadBarrier(step, pending);
            continue;
        }
        const bool isNextWrite = !earlierWrite;
        earlierWrite = true;
        if (isNextWrite && mayProceed(step, pending) && step.replica.writable)
            decideWrite(step, pending, TableFreshness::unverified);
    }
}

bool OperatorCalls::endWaiting(const Step& step, Iterator pending) {
    const ReplicaState& replica = step.replica;
    const ChainEnd& chainEnd = chainEndFor(replica, pending->call);
    if (!hasRole(replica, pending->call) && chainEnd.isReachablePeer && !chainEnd.controlAddress.empty()) {
        finish(step, pending, redirectAnswer(pending->id, chainEnd.controlAddress, pending->call.target));
        return true;
    }
    if (draining_) {
        finish(step, pending, unavailableAnswer(pending->id, "this member is leaving"));
        return true;
    }
    if (step.now >= pending->deadline) {
        finish(step, pending, unavailableAnswer(pending->id, deadlineReason(replica, pending->call)));
        return true;
    }
    return false;
}

bool OperatorCalls::mayProceed(const Step& step, Iterator pending) {
    return hasRole(step.replica, pending->call) && step.now >= pending->retryAt;
}

void OperatorCalls::startReadBarrier(const Step& step, Iterator pending) {
    pending->state = State::readBarrier;
    const auto kind = pending->call.writes() ? ReadBarrierKind::emptyBatch : ReadBarrierKind::heartbeatRound;
    step.actions.emplace_back(StartReadBarrier{pending->id, kind});
}

// ---- Decisions on writes

void OperatorCalls::decideWrite(const Step& step, Iterator pending, TableFreshness freshness) {
    auto decision = decide(pending->call, *step.replica.table);
    auto* const accepted = decision ? std::get_if<configuration::Accepted>(&decision.value()) : nullptr;
    if (accepted) {
        startWrite(step, pending, std::move(*accepted));
        return;
    }
    // Invariant: a write is rejected or reported as applied only by a table that holds every write acknowledged before.
    if (freshness == TableFreshness::unverified) return startReadBarrier(step, pending);
    if (!decision) {
        rejectWrite(step, pending, decision.error());
        return;
    }
    const auto& alreadyApplied = std::get<configuration::AlreadyApplied>(decision.value());
    finish(step, pending, appliedAnswer(pending->id, alreadyApplied.revision));
}

// If the head isn't writable, the call stays in `waiting` and is decided again later.
void OperatorCalls::startWrite(const Step& step, Iterator pending, configuration::Accepted accepted) {
    if (!step.replica.writable) return;
    pending->state = State::committing;
    pending->revision = accepted.revision;
    configuration::recordClusterId(*step.replica.table, step.replica.clusterCandidate, accepted.changes);
    step.actions.emplace_back(StartWrite{pending->id, step.replica.position, std::move(accepted.changes)});
}

void OperatorCalls::rejectWrite(const Step& step, Iterator pending, const Error& error) {
    step.actions.emplace_back(LogEvent{fmt::format("rejected {}: {}", pending->call.target, error.text())});
    finish(step, pending, errorAnswer(pending->id, error));
}

// ---- Completion

void OperatorCalls::finish(const Step& step, Iterator pending, Answer answer) {
    if (!pending->clientDisconnected) step.actions.emplace_back(std::move(answer));
    forget(pending);
}

void OperatorCalls::forget(Iterator pending) {
    bodyBytes_ -= pending->call.body.size();
    calls_.erase(pending);
}

OperatorCalls::Iterator OperatorCalls::find(CallId id, State state) {
    return std::find_if(calls_.begin(), calls_.end(),
                        [&](const PendingCall& each) { return each.id == id && each.state == state; });
}

}  // namespace beechpoint::control
