#include "replica/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

FailureDetector::FailureDetector(const Membership& membership, Outbox& outbox, std::uint64_t seed, Millis now)
    : membership_(membership), outbox_(outbox), random_(seed), nextRoundAt_(now) {
    enterView(now);
}

void FailureDetector::tick(Millis now) {
    if (now >= nextRoundAt_) startRound(now);
}

void FailureDetector::startRound(Millis now) {
    ++sequence_;
    lastRoundAt_ = now;
    nextRoundAt_ = now + kHeartbeatInterval * (0.95 + 0.05 * random_());
    if (!monitorsView()) return;
    for (const auto& [address, peer] : peers_) {
        if (monitored_.contains(address) || now - peer.joinedAt <= kJoinerExpiry)
            outbox_.send(address, Heartbeat{sequence_, now});
    }
}

void FailureDetector::onProcessResumed(Millis now) {
    for (auto& [address, peer] : peers_) peer.monitoredSince = now;
    nextRoundAt_ = now;
}

void FailureDetector::enterView(Millis now) {
    for (auto& [address, peer] : peers_) {
        peer.contactRound = 0;
        peer.contactSentAt = Peer::kNever;
    }
    // A time-out starts only once heartbeats are sent to a process regularly.
    std::set<std::string> watched;
    if (monitorsView()) {
        for (const Member& member : membership_.view.membersAndVoters()) {
            const std::string& address = member.internalAddress;
            if (address == membership_.self.internalAddress) continue;
            Peer* peer = add(now, member);
            if (!peer) continue;
            if (!monitored_.contains(address)) peer->monitoredSince = now;
            watched.insert(address);
        }
    }
    monitored_ = std::move(watched);
    nextRoundAt_ = now;
}

void FailureDetector::onHeartbeat(const Member& from, const Heartbeat& heartbeat, Status own) {
    outbox_.send(from.internalAddress,
                 HeartbeatReply{heartbeat.sequence, heartbeat.sentAt, from.session, std::move(own)});
}

const Peer* FailureDetector::onReply(Millis now, const Message& message, const HeartbeatReply& reply) {
    if (reply.requesterSession != membership_.self.session || reply.sentAt > now) return nullptr;
    const auto found = peers_.find(message.from.internalAddress);
    if (found == peers_.end()) return nullptr;
    Peer& peer = found->second;
    if (reply.sentAt <= peer.answeredHeartbeatSentAt) return nullptr;
    const bool sameAsBefore = sameProcess(peer.member, message.from);
    if (!sameAsBefore || reply.sentAt - peer.answeredHeartbeatSentAt > kReachableDuration)
        peer.respondingSince = reply.sentAt;
    if (!sameAsBefore || reply.sentAt - peer.answeredHeartbeatSentAt > kMaxLearningTime)
        peer.respondingWithGapsSince = reply.sentAt;
    peer.member = message.from;
    peer.epoch = message.epoch;
    peer.status = reply.status;
    peer.answeredHeartbeatSentAt = reply.sentAt;
    const bool unsealedVoter = message.epoch == membership_.view.epoch && !reply.status.sealed &&
                               membership_.view.findVoter(message.from);
    if (unsealedVoter) {
        peer.contactRound = reply.sequence;
        peer.contactSentAt = reply.sentAt;
    }
    return &peer;
}

void FailureDetector::onJoin(Millis now, const Member& from) {
    if (from.internalAddress == membership_.self.internalAddress) return;
    Peer* peer = add(now, from);
    if (!peer) return;
    const bool first = now - peer->joinedAt > kJoinerExpiry;
    peer->joinedAt = now;
    if (first) nextRoundAt_ = std::min(nextRoundAt_, now);
}

bool FailureDetector::maySendView(Millis now, const Member& to) {
    const auto found = peers_.find(to.internalAddress);
    if (found == peers_.end()) return true;
    if (now - found->second.viewSentAt < kHeartbeatInterval / 2) return false;
    found->second.viewSentAt = now;
    return true;
}

const Peer* FailureDetector::find(const std::string& address) const {
    const auto found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

const Peer* FailureDetector::findReachable(const std::string& address, Millis now) const {
    return isReachable(address, now) ? find(address) : nullptr;
}

bool FailureDetector::isReachable(const std::string& address, Millis now) const {
    const Peer* peer = find(address);
    return peer && now - peer->answeredHeartbeatSentAt <= kReachableDuration;
}

bool FailureDetector::isSuspected(const std::string& address, Millis now) const {
    const Peer* peer = find(address);
    return peer && now - std::max(peer->answeredHeartbeatSentAt, peer->monitoredSince) > kSuspectTimeout;
}

std::vector<std::string> FailureDetector::reachablePeers(Millis now) const {
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : peers_)
        if (isReachable(address, now)) addresses.push_back(address);
    return addresses;
}

std::vector<std::string> FailureDetector::unresponsivePeers(Millis now) const {
    std::vector<std::string> addresses;
    for (const std::string& address : monitored_)
        if (isSuspected(address, now)) addresses.push_back(address);
    return addresses;
}

bool FailureDetector::isReachedByAnyPeer(const std::string& address, Millis now) const {
    return std::ranges::any_of(peers_, [&](const auto& entry) {
        return isReachable(entry.first, now) && entry.second.reaches(address);
    });
}

template <class Condition>
bool FailureDetector::majorityOfVoters(Condition condition) const {
    const View& view = membership_.view;
    const auto counts = [&](const Member& voter) {
        if (sameDisk(voter, membership_.self)) return true;
        const Peer* peer = find(voter.internalAddress);
        return peer && sameDisk(peer->member, voter) && condition(*peer);
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(view.effectiveVoters(), counts));
    return count >= view.majority();
}

bool FailureDetector::isMajorityReachable(Millis now) const {
    return majorityOfVoters(
        [&](const Peer& peer) { return now - peer.answeredHeartbeatSentAt <= kReachableDuration; });
}

bool FailureDetector::hasMajorityContactSinceRound(std::uint64_t sequence) const {
    if (membership_.sealed) return false;
    return majorityOfVoters([&](const Peer& peer) { return peer.contactRound >= sequence; });
}

bool FailureDetector::hasMajorityContactSinceTime(Millis time) const {
    if (membership_.sealed) return false;
    return majorityOfVoters([&](const Peer& peer) { return peer.contactSentAt >= time; });
}

Peer* FailureDetector::add(Millis now, const Member& member) {
    const auto found = peers_.find(member.internalAddress);
    if (found != peers_.end()) return &found->second;
    if (peers_.size() >= kMaxPeers && !evictOldestJoiner()) return nullptr;
    Peer& peer = peers_[member.internalAddress];
    peer.member = member;
    peer.monitoredSince = now;
    return &peer;
}

// Makes room for one more peer by removing the process outside the view whose last Join is the oldest.
bool FailureDetector::evictOldestJoiner() {
    auto oldest = peers_.end();
    for (auto entry = peers_.begin(); entry != peers_.end(); ++entry) {
        if (monitored_.contains(entry->first)) continue;
        if (oldest == peers_.end() || entry->second.joinedAt < oldest->second.joinedAt) oldest = entry;
    }
    if (oldest == peers_.end()) return false;
    peers_.erase(oldest);
    return true;
}

}  // namespace beechpoint::replica
