#include "control/gateway_service_state.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::control {
namespace {

bool differsForClients(const leases::Gateway& one, const leases::Gateway& other) {
    return one.session != other.session || one.ready != other.ready || one.draining != other.draining ||
           one.frontAddress != other.frontAddress;
}

}  // namespace

GatewayServiceState::GatewayServiceState(leases::LeaseTable::Settings settings, Millis now,
                                         HostListSource& source)
    : leaseMs_(settings.leaseMs),
      leases_(settings, now),
      hosts_(now, source),
      responder_(leaseMs_, leases_, hosts_, polls_),
      peerUpdates_(leases_, hosts_, settings.maxGateways) {}

// --- events

ServiceActions GatewayServiceState::onPoll(Millis now, const CommittedTableSource* table, PollRequest request,
                                           PollTicket ticket) {
    ServiceActions actions;
    answerSuperseded(now, table, request.gateway.name, actions);
    responder_.onPoll(now, request.gateway.name);
    if (draining_ || !table) {
        refuse(table, ticket, PollStatus::notFresh, actions);
        return actions;
    }
    if (isOfOtherCluster(table, request.clusterId)) {
        refuse(nullptr, ticket, PollStatus::clusterMismatch, actions);
        return actions;
    }
    const Renewal renewal = renewLease(now, request.gateway);
    if (renewal == Renewal::refused) {
        refuse(table, ticket, PollStatus::leaseTableFull, actions);
        return actions;
    }
    if (renewal == Renewal::changed) {
        actions.gatewaysChanged = true;
        actions.peerUpdates = peerUpdates_.updateSoon(now, table);
    }
    const Freshness tableState = freshness(now, table);
    const Millis wait = std::clamp(request.waitMs, 0.0, kMaxPollWait);
    const bool isToWait = tableState == Freshness::notFresh || (wait > 0 && !hasUpdate(*table, request));
    if (isToWait && !polls_.full())
        polls_.add(now, std::move(request), ticket, wait, tableState);
    else
        answer(now, table, request, ticket, actions);
    return actions;
}

ServiceActions GatewayServiceState::onPeerUpdate(Millis now, const CommittedTableSource* table,
                                                 const PeerUpdate& peerUpdate, PeerUpdateReply& reply) {
    ServiceActions actions;
    if (isOfOtherCluster(table, peerUpdate.clusterId)) return actions;
    leases_.merge(now, peerUpdate.leases);
    reply.unknownLeases = leases_.mergeRenewals(now, peerUpdate.renewals);
    reply.acceptsIncrements = true;
    const bool isNewList = hosts_.onPeerUpdate(now, peerUpdate);
    reply.hostListVersion = hosts_.version();
    peerUpdates_.onPeerHostList(table, peerUpdate.member, peerUpdate.hostListVersion);
    count_.observe(now, leases_.peakLiveCount(now));
    actions.gatewaysChanged = true;
    if (isNewList) answerAnswerable(now, table, 0, actions);
    return actions;
}

void GatewayServiceState::onPeerUpdateReply(const std::string& member,
                                            const std::optional<PeerUpdateReply>& reply) {
    peerUpdates_.onReply(member, reply);
}

ServiceActions GatewayServiceState::onTableChanged(Millis now, const CommittedTableSource* table) {
    ServiceActions actions;
    answerAnswerable(now, table, 0, actions);
    return actions;
}

void GatewayServiceState::onViewChanged(Millis now, const CommittedTableSource* table) {
    const auto isMember = [&](const std::string& name) { return table && table->view().find(name); };
    peerUpdates_.forgetMembersExcept(isMember);
    hosts_.forgetMembersExcept(isMember);
    updateReaderRole(now, table);
    peerUpdates_.requestUpdate();
}

ServiceActions GatewayServiceState::onHostList(Millis now, const CommittedTableSource* table,
                                               std::shared_ptr<const host_discovery::HostList> list,
                                               Millis confirmedAt) {
    ServiceActions actions;
    if (!hosts_.offer(now, std::move(list), confirmedAt)) return actions;
    if (hosts_.reads()) actions.peerUpdates = peerUpdates_.updateAll(now, table);
    answerAnswerable(now, table, 0, actions);
    return actions;
}

ServiceActions GatewayServiceState::tick(Millis now, const CommittedTableSource* table) {
    ServiceActions actions;
    leases_.advanceTo(now);
    const auto maxLiveGateways = leases_.peakLiveCount(now);
    count_.observe(now, maxLiveGateways);
    updateReaderRole(now, table);
    if (count_.shouldAnnounce(now, maxLiveGateways)) answerAll(now, table, polls_.takeAll(), actions);
    answerAnswerable(now, table, kServiceTick, actions);
    actions.peerUpdates = peerUpdates_.onTick(now, table);
    return actions;
}

ServiceActions GatewayServiceState::drain() {
    ServiceActions actions;
    draining_ = true;
    hosts_.stop();
    for (const LongPoll& poll : polls_.takeAll()) refuse(nullptr, poll.ticket, PollStatus::notFresh, actions);
    return actions;
}

// --- leases and host list

GatewayServiceState::Renewal GatewayServiceState::renewLease(Millis now, const leases::Gateway& gateway) {
    const leases::Gateway* known = leases_.find(gateway.name, now);
    const bool isChanged = !known || differsForClients(*known, gateway);
    if (!leases_.renew(now, gateway)) return Renewal::refused;
    responder_.onRenewal(gateway);
    if (!isChanged) return Renewal::unchanged;
    count_.observe(now, leases_.peakLiveCount(now));
    return Renewal::changed;
}

void GatewayServiceState::updateReaderRole(Millis now, const CommittedTableSource* table) {
    hosts_.updateReaderRole(now, draining_ ? nullptr : table);
}

// --- answers

Freshness GatewayServiceState::freshness(Millis now, const CommittedTableSource* table) const {
    const bool isFresh = !draining_ && table && table->fresh(now);
    return isFresh ? Freshness::fresh : Freshness::notFresh;
}

bool GatewayServiceState::hasUpdate(const CommittedTableSource& table, const PollRequest& request) {
    noteTableChanges(table);
    return updatePosition_ > request.position || hosts_.hasUpdateFor(request);
}

// Batches that contain only duty intents do not complete the gateways' long polls.
void GatewayServiceState::noteTableChanges(const CommittedTableSource& table) {
    const Position committed = table.committedPosition();
    if (committed == checkedPosition_) return;
    const auto update = table.updateSince(checkedPosition_);
    const bool isOnlyForMembers = update && !update->whole && !update->changes.empty() &&
                                  std::ranges::none_of(update->changes, isForGateways);
    if (!isOnlyForMembers) updatePosition_ = committed;
    if (update) checkedPosition_ = committed;
}

// A cluster id of 0 on either side means unknown and matches any cluster.
bool GatewayServiceState::isOfOtherCluster(const CommittedTableSource* table, std::uint64_t clusterId) const {
    if (!table || clusterId == 0) return false;
    const std::uint64_t own = table->clusterId();
    return own != 0 && own != clusterId;
}

void GatewayServiceState::refuse(const CommittedTableSource* table, PollTicket ticket, PollStatus status,
                                 ServiceActions& actions) const {
    actions.answers.push_back({ticket, responder_.refusal(table, status)});
}

// A gateway that polls again no longer waits for its earlier poll. The earlier poll is still answered, because a call that times out closes
// the gateway's connection.
void GatewayServiceState::answerSuperseded(Millis now, const CommittedTableSource* table,
                                           const std::string& gateway, ServiceActions& actions) {
    const auto poll = polls_.take(gateway);
    if (!poll) return;
    if (freshness(now, table) == Freshness::notFresh)
        refuse(table, poll->ticket, PollStatus::notFresh, actions);
    else
        actions.answers.push_back({poll->ticket, responder_.supersededReply(*table, poll->request)});
}

void GatewayServiceState::answer(Millis now, const CommittedTableSource* table, const PollRequest& request,
                                 PollTicket ticket, ServiceActions& actions) {
    // Invariant: state is sent only from a table that is fresh at this moment.
    if (freshness(now, table) == Freshness::notFresh)
        refuse(table, ticket, PollStatus::notFresh, actions);
    else
        actions.answers.push_back({ticket, responder_.reply(now, *table, request)});
}

void GatewayServiceState::answerAll(Millis now, const CommittedTableSource* table,
                                    const std::vector<LongPoll>& polls, ServiceActions& actions) {
    for (const LongPoll& poll : polls) answer(now, table, poll.request, poll.ticket, actions);
}

void GatewayServiceState::answerAnswerable(Millis now, const CommittedTableSource* table, Millis ahead,
                                           ServiceActions& actions) {
    const auto isUpdated = [&](const PollRequest& request) { return table && hasUpdate(*table, request); };
    answerAll(now, table, polls_.takeAnswerable(now, freshness(now, table), ahead, isUpdated), actions);
}

}  // namespace beechpoint::control
