#include "control/gateway_service_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "control/table_packing.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxPeers = replica::kMaxPeers;
constexpr std::size_t kMaxZones = 256;
constexpr std::size_t kPackedUpdates =
    16;  // kept for the present position, by the position that they start from
constexpr std::uint32_t kCountPeerUpdate = 8;  // a count that rises by less than one in so many wakes nobody

bool differsForClients(const leases::Gateway& one, const leases::Gateway& other) {
    return one.session != other.session || one.ready != other.ready || one.draining != other.draining ||
           one.frontAddress != other.frontAddress;
}

}  // namespace

GatewayServiceState::GatewayServiceState(leases::LeaseTable::Settings settings, Millis now,
                                         HostListSource& source)
    : leaseMs_(settings.leaseMs),
      maxGateways_(settings.maxGateways),
      leases_(settings, now),
      hosts_(now, source) {}

// --- events

ServiceActions GatewayServiceState::onPoll(Millis now, const CommittedTableSource* table, PollRequest request,
                                           PollTicket ticket) {
    ServiceActions actions;
    endEarlierPoll(now, table, request.gateway.name, actions);
    slots_.release(now, request.gateway.name);
    if (leaving_ || !table) {
        refuse(ticket, PollStatus::notFresh, actions);
        return actions;
    }
    if (!renewLease(now, request.gateway, actions)) {
        refuse(ticket, PollStatus::full, actions);
        return actions;
    }
    if (actions.gatewaysChanged) updatePeersSoon(now, table, actions);
    const bool may = mayAnswer(now, table);
    const Millis wait = std::clamp(request.waitMs, 0.0, kMaxPollWait);
    const bool hold = !may || (wait > 0 && !hasNews(*table, request));
    if (hold && !polls_.full())
        polls_.hold(now, std::move(request), ticket, wait, may);
    else
        answer(now, table, request, ticket, actions);
    return actions;
}

ServiceActions GatewayServiceState::onPeerUpdate(Millis now, const CommittedTableSource* table,
                                                 const PeerUpdate& peerUpdate, PeerUpdateReply& reply) {
    ServiceActions actions;
    leases_.merge(now, peerUpdate.leases);
    reply.unknownLeases = leases_.mergeRenewals(now, peerUpdate.renewals);
    reply.acceptsIncrements = true;
    const bool isNewList = hosts_.take(now, peerUpdate);
    reply.hostListVersion = hosts_.version();
    if (Peer* peer = peerOf(table, peerUpdate.member)) peer->hostList = peerUpdate.hostListVersion;
    lookAtCount(now);
    actions.gatewaysChanged = true;
    if (isNewList) answerDue(now, table, 0, actions);
    return actions;
}

ServiceActions GatewayServiceState::onPeerUpdateReply(Millis, const CommittedTableSource*,
                                                      const std::string& member,
                                                      const std::optional<PeerUpdateReply>& reply) {
    const auto found = peers_.find(member);
    if (found == peers_.end()) return {};
    Peer& peer = found->second;
    peer.asked = false;
    if (!reply) return {};
    peer.hostList = reply->hostListVersion;
    peer.acceptsIncrements = reply->acceptsIncrements;
    for (const std::uint64_t id : reply->unknownLeases) peer.told.erase(id);
    if (!peer.acceptsIncrements) peer.told.clear();
    if (reply->unknownLeases.empty() && peer.acceptsIncrements) peer.toldUntil = peer.askedAt;
    return {};
}

ServiceActions GatewayServiceState::onTableMoved(Millis now, const CommittedTableSource* table) {
    ServiceActions actions;
    answerDue(now, table, 0, actions);
    return actions;
}

ServiceActions GatewayServiceState::onView(Millis now, const CommittedTableSource* table) {
    forgetPeers(table);
    lookAtHosts(now, table);
    updatePeersSoon_ = true;
    return {};
}

ServiceActions GatewayServiceState::onHosts(Millis now, const CommittedTableSource* table,
                                            std::shared_ptr<const host_discovery::HostList> list,
                                            Millis confirmedAt) {
    ServiceActions actions;
    if (!hosts_.offer(now, std::move(list), confirmedAt)) return actions;
    if (hosts_.reads()) updateAllPeers(now, table, actions);
    answerDue(now, table, 0, actions);
    return actions;
}

ServiceActions GatewayServiceState::tick(Millis now, const CommittedTableSource* table) {
    ServiceActions actions;
    leases_.look(now);
    lookAtCount(now);
    lookAtHosts(now, table);
    wakeForCount(now, table, actions);
    answerDue(now, table, kServiceTick, actions);
    if (updatePeersSoon_ || now - sharedAt_ >= kPeerUpdateInterval - kServiceTick / 2)
        updateAllPeers(now, table, actions);
    return actions;
}

ServiceActions GatewayServiceState::drain() {
    ServiceActions actions;
    leaving_ = true;
    hosts_.stop();
    for (const LongPoll& poll : polls_.takeAll()) refuse(poll.ticket, PollStatus::notFresh, actions);
    return actions;
}

// --- polls

bool GatewayServiceState::mayAnswer(Millis now, const CommittedTableSource* table) const {
    return !leaving_ && table && table->fresh(now);
}

void GatewayServiceState::refuse(PollTicket ticket, PollStatus status, ServiceActions& actions) const {
    PollReply reply;
    reply.status = status;
    actions.answers.push_back({ticket, std::move(reply)});
}

// A gateway that asks again has no use for the wait of its earlier poll; it is answered, since a call that times out costs
// the gateway its connection, but without state that the poll that has come now is answered with.
void GatewayServiceState::endEarlierPoll(Millis now, const CommittedTableSource* table,
                                         const std::string& gateway, ServiceActions& actions) {
    for (const LongPoll& poll : polls_.take(gateway)) {
        if (!mayAnswer(now, table)) {
            refuse(poll.ticket, PollStatus::notFresh, actions);
            continue;
        }
        PollReply reply;
        reply.directoryDigest = poll.request.directoryDigest;
        addMembers(*table, reply);
        reply.leaseMs = leaseMs_;
        actions.answers.push_back({poll.ticket, std::move(reply)});
    }
}

bool GatewayServiceState::renewLease(Millis now, const leases::Gateway& gateway, ServiceActions& actions) {
    const leases::Gateway* known = leases_.find(gateway.name, now);
    const bool matters = !known || differsForClients(*known, gateway);
    if (!leases_.renew(now, gateway)) return false;
    if (!gateway.region.empty() && (regions_.size() < kMaxZones || regions_.contains(gateway.zone)))
        regions_[gateway.zone] = gateway.region;
    if (!matters) return true;
    lookAtCount(now);
    actions.gatewaysChanged = true;
    return true;
}

bool GatewayServiceState::hasNews(const CommittedTableSource& table, const PollRequest& request) const {
    return table.committedPosition() > request.position || hosts_.hasNewsFor(request);
}

void GatewayServiceState::answer(Millis now, const CommittedTableSource* table, const PollRequest& request,
                                 PollTicket ticket, ServiceActions& actions) {
    if (!mayAnswer(now, table)) return refuse(ticket, PollStatus::notFresh, actions);
    PollReply reply;
    if (table->committedPosition() > request.position) {
        reply.packedTable = packedSince(*table, request.position);
        if (reply.packedTable.empty()) return refuse(ticket, PollStatus::notFresh, actions);
    }
    hosts_.answer(now, request, reply);
    if (request.acceptsPackedState) limitLargeState(now, request, reply);
    addSmallState(now, *table, request, reply);
    actions.answers.push_back({ticket, std::move(reply)});
}

void GatewayServiceState::addSmallState(Millis now, const CommittedTableSource& table,
                                        const PollRequest& request, PollReply& reply) {
    if (!directoryAt_ || now - *directoryAt_ >= kDirectoryRefresh) {
        directoryAt_ = now;
        directory_.take(leases_.live(now));
    }
    const DirectorySamples::Sample& sample = directory_.sampleFor(request.gateway);
    reply.directoryDigest = sample.digest;
    if (sample.digest != request.directoryDigest) {
        if (request.acceptsPackedState)
            reply.packedDirectory = sample.packed;
        else
            reply.directory = sample.gateways;
    }
    reply.liveGateways = leases_.count(now);
    reply.largestLive = leases_.largestLive(now);
    addMembers(table, reply);
    if (request.wantsLoad) reply.othersLoad = leases_.loadOfOthers(now, request.gateway.name);
    reply.leaseMs = leaseMs_;
}

void GatewayServiceState::addMembers(const CommittedTableSource& table, PollReply& reply) const {
    const auto add = [&](const replica::Member& member) {
        const auto region = regions_.find(member.zone);
        reply.members.push_back(member.internalAddress);
        reply.memberRegions.push_back(region == regions_.end() ? std::string{} : region->second);
    };
    add(table.self());
    for (const replica::Member& member : table.view().members)
        if (member.name != table.self().name) add(member);
}

void GatewayServiceState::limitLargeState(Millis now, const PollRequest& request, PollReply& reply) {
    const std::size_t hosts = reply.packedHostList.size() + reply.packedHostChanges.size();
    const std::size_t all = reply.packedTable.size() + hosts;
    const auto leaveOutHosts = [&] {
        reply.packedHostList.clear();
        reply.packedHostChanges.clear();
    };
    if (all > kLargeAnswer && !slots_.admit(now, request.gateway.name)) {
        if (reply.packedTable.size() > kLargeAnswer) reply.packedTable.clear();
        leaveOutHosts();
        reply.retryAfterMs = slots_.retryAfter();
    } else if (all > kAnswerBudget && !reply.packedTable.empty()) {
        leaveOutHosts();
    }
    if (polls_.full() && reply.retryAfterMs == 0) reply.retryAfterMs = TransferSlots::kMaxRetryAfter;
}

// Many gateways ask from the same position: the update is packed once.
std::string GatewayServiceState::packedSince(const CommittedTableSource& table, Position held) {
    if (packedAt_ != table.committedPosition() || packed_.size() >= kPackedUpdates) packed_.clear();
    packedAt_ = table.committedPosition();
    const auto known = packed_.find(held);
    if (known != packed_.end()) return known->second;
    const auto update = table.updateSince(held);
    if (!update) return {};
    return packed_[held] = packTable(*update);
}

void GatewayServiceState::answerAll(Millis now, const CommittedTableSource* table,
                                    std::vector<LongPoll> polls, ServiceActions& actions) {
    for (const LongPoll& poll : polls) answer(now, table, poll.request, poll.ticket, actions);
}

// Polls whose wait ends within `ahead` are answered now.
void GatewayServiceState::answerDue(Millis now, const CommittedTableSource* table, Millis ahead,
                                    ServiceActions& actions) {
    const auto news = [&](const PollRequest& request) { return table && hasNews(*table, request); };
    answerAll(now, table, polls_.takeDue(now, mayAnswer(now, table), ahead, news), actions);
}

// --- the count of gateways, by which budgets are divided

bool GatewayServiceState::countMatters(std::uint32_t largest) const {
    return !toldCount_ || largest > *toldCount_ + *toldCount_ / kCountPeerUpdate;
}

void GatewayServiceState::lookAtCount(Millis now) {
    const auto largest = leases_.largestLive(now);
    if (!largest) return toldCount_.reset();
    if (toldCount_ && *largest < *toldCount_) toldCount_ = largest;
    if (countMatters(*largest) && !wakeForCountAt_) wakeForCountAt_ = now + kCountWindow;
}

// More gateways share the budgets from now on: all must know soon.
void GatewayServiceState::wakeForCount(Millis now, const CommittedTableSource* table,
                                       ServiceActions& actions) {
    if (!wakeForCountAt_ || now < *wakeForCountAt_) return;
    wakeForCountAt_.reset();
    const auto largest = leases_.largestLive(now);
    if (!largest || !countMatters(*largest)) return;
    toldCount_ = largest;
    answerAll(now, table, polls_.takeAll(), actions);
}

// --- what members tell each other

GatewayServiceState::Peer* GatewayServiceState::peerOf(const CommittedTableSource* table,
                                                       const std::string& member) {
    if (!table || !table->view().find(member)) return nullptr;
    return &peers_[member];
}

void GatewayServiceState::forgetPeers(const CommittedTableSource* table) {
    const auto isMember = [&](const std::string& name) { return table && table->view().find(name); };
    std::erase_if(peers_, [&](const auto& entry) { return !isMember(entry.first); });
    hosts_.forget(isMember);
}

void GatewayServiceState::updatePeersSoon(Millis now, const CommittedTableSource* table,
                                          ServiceActions& actions) {
    updatePeersSoon_ = true;
    if (now - sharedAt_ >= kPeerUpdateGatherWindow) updateAllPeers(now, table, actions);
}

void GatewayServiceState::updateAllPeers(Millis now, const CommittedTableSource* table,
                                         ServiceActions& actions) {
    if (!table || !table->inView()) return;
    sharedAt_ = now;
    updatePeersSoon_ = false;
    PeerUpdate peerUpdate;
    peerUpdate.member = table->self().name;
    peerUpdate.session = table->self().session;
    peerUpdate.epoch = table->view().epoch;
    hosts_.describe(now, peerUpdate);
    for (const replica::Member& member : table->view().members)
        if (member.name != peerUpdate.member) updatePeer(now, member, peerUpdate, actions);
}

void GatewayServiceState::updatePeer(Millis now, const replica::Member& member, PeerUpdate peerUpdate,
                                     ServiceActions& actions) {
    if (peers_.size() >= kMaxPeers && !peers_.contains(member.name)) return;
    Peer& peer = peers_[member.name];
    if (peer.asked) {
        updatePeersSoon_ = true;
        return;
    }
    peer.asked = true;
    peer.askedAt = now;
    addLeases(now, peer, peerUpdate);
    if (hosts_.isToTell(now, peer.hostList))
        hosts_.tell(now, peer.hostList, peer.acceptsIncrements, peerUpdate);
    actions.peerUpdates.push_back({member.name, member.internalAddress, std::move(peerUpdate)});
}

void GatewayServiceState::addLeases(Millis now, Peer& peer, PeerUpdate& peerUpdate) {
    if (!peer.acceptsIncrements) {
        peerUpdate.leases = leases_.granted(now);
        return;
    }
    if (peer.told.size() > 2 * maxGateways_) peer.told.clear();
    for (const auto& granted : leases_.grantedSince(peer.toldUntil, now)) {
        const bool isKnown = !peer.told.insert(granted.id).second;
        if (isKnown)
            peerUpdate.renewals.push_back({granted.id, static_cast<std::uint32_t>(std::floor(granted.age))});
        else
            peerUpdate.leases.push_back({*granted.gateway, granted.age});
    }
}

// --- the host list

void GatewayServiceState::lookAtHosts(Millis now, const CommittedTableSource* table) {
    hosts_.look(now, leaving_ ? nullptr : table);
}

}  // namespace beechpoint::control
