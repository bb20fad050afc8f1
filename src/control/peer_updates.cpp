#include "control/peer_updates.hpp"

#include <cmath>
#include <utility>

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxPeers = replica::kMaxPeers;

}  // namespace

std::vector<PeerUpdateCall> PeerUpdates::updateAll(Millis now, const CommittedTableSource* table) {
    std::vector<PeerUpdateCall> calls;
    if (!table || !table->inView()) return calls;
    lastUpdateAt_ = now;
    updateRequested_ = false;
    const PeerUpdate common = commonPart(now, *table);
    for (const replica::Member& member : table->view().members) {
        if (member.name == common.member) continue;
        if (auto call = updateOne(now, member, common)) calls.push_back(std::move(*call));
    }
    return calls;
}

std::vector<PeerUpdateCall> PeerUpdates::updateSoon(Millis now, const CommittedTableSource* table) {
    updateRequested_ = true;
    if (now - lastUpdateAt_ < kPeerUpdateGatherWindow) return {};
    return updateAll(now, table);
}

std::vector<PeerUpdateCall> PeerUpdates::onTick(Millis now, const CommittedTableSource* table) {
    // Tolerates half a tick, so that an update is sent early rather than a whole tick late.
    const bool intervalOver = now - lastUpdateAt_ >= kPeerUpdateInterval - kServiceTick / 2;
    if (!updateRequested_ && !intervalOver) return {};
    return updateAll(now, table);
}

void PeerUpdates::onPeerHostList(const CommittedTableSource* table, const std::string& member,
                                 const host_discovery::HostListVersion& version) {
    if (table && table->view().find(member)) peers_[member].hostList = version;
}

void PeerUpdates::onReply(const std::string& member, const std::optional<PeerUpdateReply>& reply) {
    const auto found = peers_.find(member);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    peer.awaitsReply = false;
    if (!reply) return;
    peer.hostList = reply->hostListVersion;
    peer.acceptsIncrements = reply->acceptsIncrements;
    if (!peer.acceptsIncrements) {
        peer.knownLeases.clear();
        return;
    }
    for (const std::uint64_t id : reply->unknownLeases) peer.knownLeases.erase(id);
    // Unknown leases are sent again in full, so the grants since the previous update are not acknowledged yet.
    if (reply->unknownLeases.empty()) peer.acknowledgedUntil = peer.sentAt;
}

void PeerUpdates::forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember) {
    std::erase_if(peers_, [&](const auto& entry) { return !isMember(entry.first); });
}

PeerUpdate PeerUpdates::commonPart(Millis now, const CommittedTableSource& table) const {
    PeerUpdate peerUpdate;
    peerUpdate.member = table.self().name;
    peerUpdate.session = table.self().session;
    peerUpdate.epoch = table.view().epoch;
    peerUpdate.clusterId = table.clusterId();
    hosts_.describe(now, peerUpdate);
    return peerUpdate;
}

std::optional<PeerUpdateCall> PeerUpdates::updateOne(Millis now, const replica::Member& member,
                                                     PeerUpdate peerUpdate) {
    if (peers_.size() >= kMaxPeers && !peers_.contains(member.name)) return std::nullopt;
    Peer& peer = peers_[member.name];
    if (peer.awaitsReply) {
        updateRequested_ = true;
        return std::nullopt;
    }
    peer.awaitsReply = true;
    peer.sentAt = now;
    addLeases(now, peer, peerUpdate);
    if (hosts_.needsUpdate(now, peer.hostList)) {
        const auto encoding = peer.acceptsIncrements ? HostListEncoding::packed : HostListEncoding::plain;
        hosts_.addUpdate(now, peer.hostList, encoding, peerUpdate);
    }
    return PeerUpdateCall{member.name, member.internalAddress, std::move(peerUpdate)};
}

void PeerUpdates::addLeases(Millis now, Peer& peer, PeerUpdate& peerUpdate) const {
    if (!peer.acceptsIncrements) {
        peerUpdate.leases = leases_.grantedLeases(now);
        return;
    }
    if (peer.knownLeases.size() > 2 * maxGateways_) peer.knownLeases.clear();
    for (const auto& granted : leases_.leasesGrantedSince(peer.acknowledgedUntil, now)) {
        const bool isKnown = !peer.knownLeases.insert(granted.id).second;
        if (isKnown)
            peerUpdate.renewals.push_back({granted.id, static_cast<std::uint32_t>(std::floor(granted.age))});
        else
            peerUpdate.leases.push_back({*granted.gateway, granted.age});
    }
}

}  // namespace beechpoint::control
