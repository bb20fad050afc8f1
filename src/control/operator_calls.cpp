#include "control/operator_calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/http.hpp"

namespace beechpoint::control {
namespace {

constexpr Millis kComeBackAfter = 300;
constexpr Millis kTryAgainAfter = 25;  // a barrier that failed may fail again in the same step
constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kUnavailable = 503;

Answer busyAnswer(CallId id, const std::string& why) {
    const Error error{ErrorKind::unavailable, "", why, "send the same call again, here or to another member"};
    return {id, kUnavailable, configuration::renderError(error), net::retryAfterHeader(kComeBackAfter)};
}

bool hasRole(const ReplicaState& replica, const OperatorCall& call) {
    return replica.table && replica.inView && (call.writes() ? replica.isHead : replica.isTail);
}

const RoleHolder& holderFor(const ReplicaState& replica, const OperatorCall& call) {
    return call.writes() ? replica.head : replica.tail;
}

std::string waitReason(const ReplicaState& replica, const OperatorCall& call) {
    if (!hasRole(replica, call)) return "no member that could answer is in reach";
    return call.writes() ? "the write can't be kept by enough members at the moment"
                         : "whether this is the newest configuration can't be told at the moment";
}

}  // namespace

void OperatorCalls::handle(Millis now, const ReplicaState& replica, OperatorEvent event,
                           std::vector<OperatorAction>& actions) {
    const Moment moment{now, replica, actions};
    std::visit([&](auto& what) { on(moment, what); }, event);
    lookAtWaiting(moment);
}

bool OperatorCalls::waiting() const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const Pending& pending) { return pending.state == State::waiting; });
}

// ---- Events

void OperatorCalls::on(const Moment& moment, CallCame& event) {
    const std::size_t bytes = event.call.body.size();
    if (calls_.size() >= kMaxOperatorCalls || bytes_ + bytes > kMaxOperatorBytes) {
        moment.actions.emplace_back(busyAnswer(event.id, "too many calls are in hand"));
        return;
    }
    Pending pending;
    pending.id = event.id;
    pending.call = std::move(event.call);
    pending.deadline = moment.now + kOperatorWait;
    bytes_ += bytes;
    calls_.push_back(std::move(pending));
}

void OperatorCalls::on(const Moment&, const ClientLeft& event) {
    const auto pending =
        std::find_if(calls_.begin(), calls_.end(), [&](const Pending& each) { return each.id == event.id; });
    if (pending == calls_.end()) return;
    pending->clientLeft = true;
    if (pending->state == State::waiting) forget(pending);
}

void OperatorCalls::on(const Moment&, const Look&) {}

void OperatorCalls::on(const Moment& moment, const BarrierDone& event) {
    const auto pending = find(event.id, State::barrier);
    if (pending == calls_.end()) return;
    pending->state = State::waiting;
    if (pending->clientLeft) return forget(pending);
    if (!event.ok || !moment.replica.table) {
        pending->notBefore = moment.now + kTryAgainAfter;
        return;
    }
    if (pending->call.writes()) return decideWrite(moment, pending, true);
    answer(moment, pending, kOk, configuration::renderConfiguration(*moment.replica.table));
}

void OperatorCalls::on(const Moment& moment, const WriteDone& event) {
    const auto pending = find(event.id, State::committing);
    if (pending == calls_.end()) return;
    if (event.result == WriteResult::committed) {
        writesTaken_++;
        moment.actions.emplace_back(
            Note{fmt::format("took revision {} by {}", pending->revision, pending->call.target)});
        return answerTaken(moment, pending, pending->revision);
    }
    if (event.result == WriteResult::unknown)
        return sendAway(moment, pending, "whether the change took effect is not known");
    pending->state = State::waiting;
    if (pending->clientLeft) forget(pending);
}

void OperatorCalls::on(const Moment&, const Leaving&) { leaving_ = true; }

// ---- Calls that wait

void OperatorCalls::lookAtWaiting(const Moment& moment) {
    bool writeAhead = std::any_of(calls_.begin(), calls_.end(), [](const Pending& pending) {
        return pending.call.writes() && pending.state != State::waiting;
    });
    for (auto next = calls_.begin(); next != calls_.end();) {
        const auto pending = next++;
        if (pending->state == State::waiting) look(moment, pending, writeAhead);
    }
}

void OperatorCalls::look(const Moment& moment, Iterator pending, bool& writeAhead) {
    const ReplicaState& replica = moment.replica;
    const bool here = hasRole(replica, pending->call);
    const RoleHolder& holder = holderFor(replica, pending->call);
    if (!here && holder.elsewhere && !holder.controlAddress.empty())
        return redirect(moment, pending, holder.controlAddress);
    if (leaving_) return sendAway(moment, pending, "this member is leaving");
    if (moment.now >= pending->deadline) return sendAway(moment, pending, waitReason(replica, pending->call));
    const bool due = moment.now >= pending->notBefore;
    if (!pending->call.writes()) {
        if (here && due) startBarrier(moment, pending);
        return;
    }
    const bool first = !std::exchange(writeAhead, true);
    if (first && here && due && replica.writable) decideWrite(moment, pending, false);
}

void OperatorCalls::startBarrier(const Moment& moment, Iterator pending) {
    pending->state = State::barrier;
    moment.actions.emplace_back(StartBarrier{pending->id, pending->call.writes()});
}

void OperatorCalls::decideWrite(const Moment& moment, Iterator pending, bool vouched) {
    auto decision = decide(pending->call, *moment.replica.table);
    if (decision) {
        if (auto* accepted = std::get_if<configuration::Accepted>(&decision.value())) {
            if (!moment.replica.writable) return;
            pending->state = State::committing;
            pending->revision = accepted->revision;
            moment.actions.emplace_back(
                StartWrite{pending->id, moment.replica.position, std::move(accepted->changes)});
            return;
        }
    }
    if (!vouched) return startBarrier(moment, pending);
    if (decision)
        return answerTaken(moment, pending,
                           std::get<configuration::AlreadyApplied>(decision.value()).revision);
    const Error& error = decision.error();
    moment.actions.emplace_back(Note{fmt::format("refused {}: {}", pending->call.target, error.text())});
    answer(moment, pending, configuration::httpStatus(error.kind), configuration::renderError(error));
}

// ---- Answers

void OperatorCalls::answerTaken(const Moment& moment, Iterator pending, std::uint64_t revision) {
    answer(moment, pending, kOk, fmt::format(R"({{"revision":{}}})", revision));
}

void OperatorCalls::redirect(const Moment& moment, Iterator pending, const std::string& address) {
    std::string location = fmt::format("Location: http://{}{}\r\n", address, pending->call.target);
    const Error error{ErrorKind::unavailable, "", "another member answers this call",
                      "follow Location: " + address};
    answer(moment, pending, kTemporaryRedirect, configuration::renderError(error), std::move(location));
}

void OperatorCalls::sendAway(const Moment& moment, Iterator pending, const std::string& why) {
    Answer busy = busyAnswer(pending->id, why);
    answer(moment, pending, busy.status, std::move(busy.body), std::move(busy.headers));
}

void OperatorCalls::answer(const Moment& moment, Iterator pending, int status, std::string body,
                           std::string headers) {
    if (!pending->clientLeft)
        moment.actions.emplace_back(Answer{pending->id, status, std::move(body), std::move(headers)});
    forget(pending);
}

void OperatorCalls::forget(Iterator pending) {
    bytes_ -= pending->call.body.size();
    calls_.erase(pending);
}

OperatorCalls::Iterator OperatorCalls::find(CallId id, State state) {
    return std::find_if(calls_.begin(), calls_.end(),
                        [&](const Pending& each) { return each.id == id && each.state == state; });
}

}  // namespace beechpoint::control
