#include "control/host_list_distributor.hpp"

#include <algorithm>
#include <utility>

#include "control_messages/codec.hpp"

namespace beechpoint::control {
namespace {

// A list that is not newer than the gateway's (from another reader) is sent only if it was confirmed within this time.
constexpr Millis kFreshlyConfirmed = 1500;
constexpr std::size_t kMaxPackedBases = 64;

}  // namespace

bool HostListDistributor::onPeerUpdate(Millis now, const PeerUpdate& peerUpdate) {
    const bool isReplaced = offerReceived(now, peerUpdate);
    if (peerUpdate.hostListAge) consumer_.confirm(peerUpdate.hostListVersion, now - *peerUpdate.hostListAge);
    role_.onPeerUpdate(now, peerUpdate);
    return isReplaced;
}

bool HostListDistributor::offerReceived(Millis now, const PeerUpdate& peerUpdate) {
    if (peerUpdate.hostList) {
        const Millis confirmedAt = now - peerUpdate.hostListAge.value_or(peerUpdate.hostList->readAge);
        return offer(now, toHostList(*peerUpdate.hostList, now), confirmedAt);
    }
    if (!peerUpdate.hostChanges || !list()) return false;
    const Millis readAge = peerUpdate.hostChanges->readAge;
    auto changed = host_discovery::applyChanges(*list(), peerUpdate.hostChanges->changes, now - readAge);
    if (!changed) return false;
    return offer(now, std::move(changed), now - peerUpdate.hostListAge.value_or(readAge));
}

bool HostListDistributor::offer(Millis now, std::shared_ptr<const host_discovery::HostList> list,
                                Millis confirmedAt) {
    if (!consumer_.offer(std::move(list), confirmedAt, now)) return false;
    history_.add(consumer_.list());
    replacedAt_ = now;
    packedList_.clear();
    packedChanges_.clear();
    return true;
}

void HostListDistributor::fillReply(Millis now, const PollRequest& request, PollReply& reply) {
    reply.hostListVersion = version();
    reply.hostListAge = age(now);
    if (!list() || version() == request.hostList) return;
    const bool isNewer = version() > request.hostList;
    if (!isNewer && *reply.hostListAge >= kFreshlyConfirmed) return;
    if (request.acceptsPackedState) {
        reply.hostListReadAge = readAge(now);
        if (isNewer) reply.packedHostChanges = packedChanges(request.hostList);
        if (reply.packedHostChanges.empty()) reply.packedHostList = packedList();
        return;
    }
    std::optional<host_discovery::HostListChanges> changes;
    if (isNewer && request.acceptsHostChanges) changes = history_.since(request.hostList);
    if (changes)
        reply.hostChanges = HostListDelta{std::move(*changes), readAge(now)};
    else
        reply.hostList = snapshot(now);
}

void HostListDistributor::describe(Millis now, PeerUpdate& peerUpdate) const {
    peerUpdate.hostListVersion = version();
    peerUpdate.hostListAge = age(now);
    const bool isConfirmed = peerUpdate.hostListAge && *peerUpdate.hostListAge < kReaderReportExpiry;
    peerUpdate.readsHostList = role_.reads() && role_.succeeds() && isConfirmed;
}

bool HostListDistributor::needsUpdate(Millis now, const host_discovery::HostListVersion& held) const {
    if (!list() || held >= version()) return false;
    return reads() || now - replacedAt_ >= kRelayAfter;
}

void HostListDistributor::addUpdate(Millis now, const host_discovery::HostListVersion& held,
                                    HostListEncoding encoding, PeerUpdate& peerUpdate) {
    if (encoding == HostListEncoding::plain) {
        peerUpdate.hostList = snapshot(now);
        return;
    }
    peerUpdate.hostListReadAge = readAge(now);
    peerUpdate.packedHostChanges = packedChanges(held);
    if (peerUpdate.packedHostChanges.empty()) peerUpdate.packedHostList = packedList();
}

const std::string& HostListDistributor::packedList() {
    if (packedList_.empty()) packedList_ = packHostList(*list());
    return packedList_;
}

const std::string& HostListDistributor::packedChanges(const host_discovery::HostListVersion& base) {
    const auto known = packedChanges_.find(base);
    if (known != packedChanges_.end()) return known->second;
    if (packedChanges_.size() >= kMaxPackedBases) packedChanges_.clear();
    const auto changes = history_.since(base);
    std::string& packed = packedChanges_[base];
    if (changes) packed = packHostChanges(*changes);
    return packed;
}

std::optional<HostListSnapshot> HostListDistributor::snapshot(Millis now) const {
    if (!list()) return std::nullopt;
    return HostListSnapshot{list()->version, readAge(now), list()->hosts};
}

Millis HostListDistributor::readAge(Millis now) const { return std::max(0.0, now - list()->readAt); }

}  // namespace beechpoint::control
