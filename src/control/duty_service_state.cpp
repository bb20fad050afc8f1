#include "control/duty_service_state.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/cluster_identity.hpp"
#include "duties/duty_holder.hpp"

namespace beechpoint::control {
namespace {

using duties::DutyAction;
using duties::Subject;

const Subject kUsage{duties::Duty::usage, "", ""};

// Share of the report deadline for collecting counts; the rest is for recording and sending the report.
constexpr double kGatherShare = 0.7;

std::string usageBody(const duties::WindowCounts& window) {
    nlohmann::ordered_json body;
    body["window_number"] = window.window;
    body["instance_counts"] = window.counts;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// A cluster id of 0 on either side means unknown and matches any cluster.
bool isOfOtherCluster(const DutyReplicaState& replica, const UsageMessage& message) {
    const std::uint64_t own = replica.table ? configuration::clusterId(*replica.table) : 0;
    return own != 0 && message.clusterId != 0 && own != message.clusterId;
}

std::vector<DutyAction> asList(std::optional<DutyAction> action) {
    std::vector<DutyAction> list;
    if (action) list.push_back(std::move(*action));
    return list;
}

}  // namespace

DutyServiceState::DutyServiceState(Settings settings)
    : settings_(std::move(settings)),
      collector_(std::max(settings_.usageWindow, 1.0), kGatherShare * settings_.usageReportDeadline) {
    if (settings_.usageWindow <= 0) return;
    held_.emplace(kUsage, Held{duties::DutyRunner{kUsage, settings_.takeoverDelay, settings_.seed}});
}

// ---- Gateways

void DutyServiceState::onGatewayTime(Millis now, const std::string& gateway, Millis unixTime) {
    if (unixTime > 0) trueTime_.report(now, gateway, unixTime);
}

UsageReply DutyServiceState::onUsage(Millis now, const DutyReplicaState& replica,
                                     const UsageMessage& message) {
    UsageReply reply;
    const bool isHolder = settings_.usageWindow > 0 && holds(replica, kUsage);
    if (!isHolder || isOfOtherCluster(replica, message)) return reply;
    onGatewayTime(now, message.report.gateway, message.unixTime);
    followTerm(now, replica);
    const bool isOfThisTerm = message.term == replica.view.epoch;
    const bool isKept = collector_.add(message.report, isOfThisTerm);
    reply.accepted = isKept && isOfThisTerm;
    reply.recordedBefore = recordedBefore_;
    return reply;
}

// ---- Time

std::vector<DutyAction> DutyServiceState::step(Millis now, Millis ownTime, const DutyReplicaState& replica,
                                               const LiveGateways& gateways) {
    std::vector<DutyAction> actions;
    followTerm(now, replica);
    forgetRecordedUsage(replica);
    for (auto& entry : held_) {
        Held& held = entry.second;
        const duties::DutyContext situation = situationOf(now, replica, held);
        std::optional<duties::DutyWork> work;
        if (held.runner.needsWork(now, situation))
            work = usageWork(now, ownTime, held.runner, replica, gateways);
        if (auto action = held.runner.step(now, situation, work)) actions.push_back(std::move(*action));
    }
    return actions;
}

std::vector<DutyAction> DutyServiceState::onProposed(Millis now, const DutyReplicaState& replica,
                                                     const Subject& subject, std::uint64_t attempt,
                                                     const duties::ProposalResult& answer) {
    Held* const held = find(subject);
    if (!held) return {};
    return asList(held->runner.onProposed(now, situationOf(now, replica, *held), attempt, answer));
}

std::vector<DutyAction> DutyServiceState::onCalled(Millis now, const Subject& subject, std::uint64_t attempt,
                                                   int status) {
    Held* const held = find(subject);
    return held ? asList(held->runner.onCalled(now, attempt, status)) : std::vector<DutyAction>{};
}

void DutyServiceState::onSettled(Millis now, const Subject& subject, std::uint64_t attempt, bool recorded) {
    if (Held* const held = find(subject)) held->runner.onSettled(now, attempt, recorded);
}

bool DutyServiceState::isCallAllowed(const DutyReplicaState& replica,
                                     const duties::CallPlatform& call) const {
    return replica.fresh && replica.view.epoch == call.token && holds(replica, call.subject);
}

// ---- Status for operators and gateways

std::optional<UsageHolder> DutyServiceState::usageHolder(const replica::View& view) const {
    if (settings_.usageWindow <= 0) return std::nullopt;
    const replica::Member* const holder = duties::holderOf(kUsage, view);
    if (!holder) return std::nullopt;
    return UsageHolder{holder->internalAddress, view.epoch};
}

std::vector<DutyStatus> DutyServiceState::status(const DutyReplicaState& replica) const {
    std::vector<DutyStatus> all;
    for (const auto& entry : held_) {
        const Subject& subject = entry.first;
        const Held& held = entry.second;
        DutyStatus status;
        status.subject = duties::keyOf(subject);
        if (const replica::Member* const holder = duties::holderOf(subject, replica.view))
            status.holder = holder->name;
        status.token = replica.view.epoch;
        status.heldHere = holds(replica, subject);
        status.lastStatus = held.runner.lastStatus();
        status.calls = held.runner.callCount();
        const auto intents =
            replica.table ? duties::intentsOf(*replica.table, subject) : std::vector<duties::Intent>{};
        status.openIntents = static_cast<std::size_t>(
            std::ranges::count(intents, duties::IntentState::open, &duties::Intent::state));
        if (!intents.empty()) {
            status.newestNumber = intents.back().number;
            status.newestState = duties::nameOf(intents.back().state);
        }
        all.push_back(std::move(status));
    }
    return all;
}

// ---- Parts

bool DutyServiceState::holds(const DutyReplicaState& replica, const Subject& subject) const {
    const replica::Member* const holder = duties::holderOf(subject, replica.view);
    return holder && holder->name == settings_.member;
}

duties::DutyContext DutyServiceState::situationOf(Millis now, const DutyReplicaState& replica,
                                                  Held& held) const {
    duties::DutyContext situation;
    situation.isHolder = holds(replica, held.runner.subject());
    // If a view was missed in between, another member may have held the duty meanwhile.
    const bool missedView = replica.view.epoch > held.epoch + 1;
    if (!situation.isHolder || missedView) held.since.reset();
    held.epoch = replica.view.epoch;
    if (situation.isHolder && !held.since) held.since = now;
    situation.fresh = replica.fresh && !draining_;
    situation.holderSince = held.since.value_or(now);
    situation.epoch = replica.view.epoch;
    situation.member = settings_.member;
    situation.table = replica.table.get();
    return situation;
}

std::optional<duties::DutyWork> DutyServiceState::usageWork(Millis now, Millis ownTime,
                                                            const duties::DutyRunner& runner,
                                                            const DutyReplicaState& replica,
                                                            const LiveGateways& gateways) const {
    const auto live = gateways();
    // Recording a window far in the future would prevent all earlier windows from being reported.
    if (!trueTime_.isConfirmed(now, live.size())) return std::nullopt;
    const auto window = collector_.nextWindow(runner.newestNumber(*replica.table),
                                              trueTime_.estimate(now, ownTime), now - collectingSince_, live);
    if (!window) return std::nullopt;
    return duties::DutyWork{window->window, usageBody(*window)};
}

// Reports are incremental within a term: they cover a window only together with the other reports of that term to this process.
void DutyServiceState::followTerm(Millis now, const DutyReplicaState& replica) {
    if (!holds(replica, kUsage)) collector_.clear();
    if (replica.view.epoch == collectedTerm_) return;
    collector_.resetCoverage();
    collectedTerm_ = replica.view.epoch;
    collectingSince_ = now;
}

void DutyServiceState::forgetRecordedUsage(const DutyReplicaState& replica) {
    if (!replica.table || replica.table == readTable_) return;
    readTable_ = replica.table;
    const auto intents = duties::intentsOf(*replica.table, kUsage);
    if (intents.empty()) return;
    recordedBefore_ = intents.back().number + 1;
    collector_.dropBefore(recordedBefore_);
}

DutyServiceState::Held* DutyServiceState::find(const Subject& subject) {
    const auto found = held_.find(subject);
    return found == held_.end() ? nullptr : &found->second;
}

}  // namespace beechpoint::control
