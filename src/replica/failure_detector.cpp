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
    nextRoundAt_ = now + kHeartbeatEvery * (0.95 + 0.05 * random_());
    if (!watches()) return;
    for (const auto& [address, peer] : peers_) {
        if (watched_.contains(address) || now - peer.joinedAt <= kJoinerForgottenAfter)
            outbox_.send(address, Heartbeat{sequence_, now});
    }
}

void FailureDetector::wake(Millis now) {
    for (auto& [address, peer] : peers_) peer.watchedSince = now;
    nextRoundAt_ = now;
}

void FailureDetector::enterView(Millis now) {
    for (auto& [address, peer] : peers_) {
        peer.vouchedSequence = 0;
        peer.vouchedSentAt = Peer::kNever;
    }
    // Silence counts only from when heartbeats are sent to a process steadily.
    std::set<std::string> watched;
    if (watches()) {
        for (const Member& member : membership_.view.membersAndVoters()) {
            const std::string& address = member.internalAddress;
            if (address == membership_.self.internalAddress) continue;
            Peer* peer = add(now, member);
            if (!peer) continue;
            if (!watched_.contains(address)) peer->watchedSince = now;
            watched.insert(address);
        }
    }
    watched_ = std::move(watched);
    nextRoundAt_ = now;
}

void FailureDetector::onHeartbeat(const Member& from, const Heartbeat& heartbeat, Status own) {
    outbox_.send(from.internalAddress,
                 HeartbeatReply{heartbeat.sequence, heartbeat.sentAt, from.session, std::move(own)});
}

const Peer* FailureDetector::onReply(Millis now, const Message& message, const HeartbeatReply& reply) {
    if (reply.askedBySession != membership_.self.session || reply.sentAt > now) return nullptr;
    const auto found = peers_.find(message.from.internalAddress);
    if (found == peers_.end()) return nullptr;
    Peer& peer = found->second;
    if (reply.sentAt <= peer.answeredSentAt) return nullptr;
    const bool sameAsBefore = sameProcess(peer.member, message.from);
    if (!sameAsBefore || reply.sentAt - peer.answeredSentAt > kReachableFor)
        peer.answeringSince = reply.sentAt;
    if (!sameAsBefore || reply.sentAt - peer.answeredSentAt > kLearnMost) peer.heardSince = reply.sentAt;
    peer.member = message.from;
    peer.epoch = message.epoch;
    peer.status = reply.status;
    peer.answeredSentAt = reply.sentAt;
    const bool vouches = message.epoch == membership_.view.epoch && !reply.status.sealed &&
                         membership_.view.findVoter(message.from);
    if (vouches) {
        peer.vouchedSequence = reply.sequence;
        peer.vouchedSentAt = reply.sentAt;
    }
    return &peer;
}

void FailureDetector::onJoin(Millis now, const Member& from) {
    if (from.internalAddress == membership_.self.internalAddress) return;
    Peer* peer = add(now, from);
    if (!peer) return;
    const bool first = now - peer->joinedAt > kJoinerForgottenAfter;
    peer->joinedAt = now;
    if (first) nextRoundAt_ = std::min(nextRoundAt_, now);
}

bool FailureDetector::mayTellView(Millis now, const Member& to) {
    const auto found = peers_.find(to.internalAddress);
    if (found == peers_.end()) return true;
    if (now - found->second.toldViewAt < kHeartbeatEvery / 2) return false;
    found->second.toldViewAt = now;
    return true;
}

const Peer* FailureDetector::find(const std::string& address) const {
    const auto found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

bool FailureDetector::reachable(const std::string& address, Millis now) const {
    const Peer* peer = find(address);
    return peer && now - peer->answeredSentAt <= kReachableFor;
}

bool FailureDetector::suspected(const std::string& address, Millis now) const {
    const Peer* peer = find(address);
    return peer && now - std::max(peer->answeredSentAt, peer->watchedSince) > kSuspectAfter;
}

std::vector<std::string> FailureDetector::reached(Millis now) const {
    std::vector<std::string> addresses;
    for (const auto& [address, peer] : peers_)
        if (reachable(address, now)) addresses.push_back(address);
    return addresses;
}

std::vector<std::string> FailureDetector::unheard(Millis now) const {
    std::vector<std::string> addresses;
    for (const std::string& address : watched_)
        if (suspected(address, now)) addresses.push_back(address);
    return addresses;
}

template <class Vouches>
bool FailureDetector::majorityVouches(Vouches vouches) const {
    const View& view = membership_.view;
    if (view.electorate().empty() || membership_.sealed) return false;
    std::size_t count = 0;
    for (const Member& member : view.electorate()) {
        if (sameDisk(member, membership_.self)) {
            ++count;
            continue;
        }
        const Peer* peer = find(member.internalAddress);
        if (peer && sameDisk(peer->member, member) && vouches(*peer)) ++count;
    }
    return count >= view.majority();
}

bool FailureDetector::vouchedSinceRound(std::uint64_t sequence) const {
    return majorityVouches([&](const Peer& peer) { return peer.vouchedSequence >= sequence; });
}

bool FailureDetector::vouchedSinceTime(Millis time) const {
    return majorityVouches([&](const Peer& peer) { return peer.vouchedSentAt >= time; });
}

Peer* FailureDetector::add(Millis now, const Member& member) {
    const auto found = peers_.find(member.internalAddress);
    if (found != peers_.end()) return &found->second;
    if (peers_.size() >= kMaxPeers && !makeRoom()) return nullptr;
    Peer& peer = peers_[member.internalAddress];
    peer.member = member;
    peer.watchedSince = now;
    return &peer;
}

// Forgets the process outside the view that asked to join longest ago.
bool FailureDetector::makeRoom() {
    auto oldest = peers_.end();
    for (auto entry = peers_.begin(); entry != peers_.end(); ++entry) {
        if (watched_.contains(entry->first)) continue;
        if (oldest == peers_.end() || entry->second.joinedAt < oldest->second.joinedAt) oldest = entry;
    }
    if (oldest == peers_.end()) return false;
    peers_.erase(oldest);
    return true;
}

}  // namespace beechpoint::replica
