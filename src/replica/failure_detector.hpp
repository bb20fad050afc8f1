/// Heartbeats: which processes answer, with what status, and since when.
///
/// Everything known of another process comes from its answers to this process's own heartbeats, ordered by the time of sending on
/// this process's clock. So an answer proves both directions of a link, and an answer that waited while this process was suspended
/// proves nothing recent. It owns the table of peers and the timer of the heartbeat rounds; the reports in it are inputs of
/// ViewPlanner, which decides.
///
/// Contact with a majority of the voters is what reads rest on (Raft thesis, 6.4): a voter that answered unsealed in this epoch had
/// not promised for the next view when the heartbeat was sent, so no later view can have acknowledged anything before.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "replica/membership.hpp"
#include "replica/messages.hpp"
#include "replica/outbox.hpp"

namespace beechpoint::replica {

/// What is known of another process. Times are this process's, in ms.
struct Peer {
    static constexpr Millis kNever = -1e18;

    Member member;  // as of the last answer, or of its Join
    std::uint64_t epoch = 0;
    Status status;
    Millis monitoredSince = kNever;           // its time-out counts from here on at the earliest
    Millis answeredHeartbeatSentAt = kNever;  // when the heartbeat that it answered last was sent
    Millis respondingSince = kNever;          // it has answered without a gap above kReachableDuration since
    Millis respondingWithGapsSince = kNever;  // the same, but for gaps of up to kMaxLearningTime
    std::uint64_t contactRound = 0;  // last round that it answered as an unsealed voter of this epoch
    Millis contactSentAt = kNever;   // when that heartbeat was sent
    Millis joinedAt = kNever;        // of its last Join
    Millis viewSentAt = kNever;      // when it was last sent the view, being behind

    /// Its last answer says that it reaches this internal address.
    bool reaches(const std::string& address) const {
        return std::ranges::find(status.reachablePeers, address) != status.reachablePeers.end();
    }
};

class FailureDetector {
public:
    /// `seed`: of the jitter of the rounds.
    FailureDetector(const Membership& membership, Outbox& outbox, std::uint64_t seed, Millis now);

    void tick(Millis now);
    /// Sends a heartbeat to everyone watched, and to those that asked to join lately.
    void startRound(Millis now);
    /// The process did not run for a while: time-outs of others count anew.
    void onProcessResumed(Millis now);
    /// Called when the view in force or what this process is in it has changed.
    void enterView(Millis now);

    void onHeartbeat(const Member& from, const Heartbeat& heartbeat, Status own);
    /// The peer that it updated, or nullptr if the answer is old or not for this session.
    const Peer* onReply(Millis now, const Message& message, const HeartbeatReply& reply);
    void onJoin(Millis now, const Member& from);
    /// Whether to send this process the view now; bounds how often that happens.
    bool maySendView(Millis now, const Member& to);

    const std::map<std::string, Peer>& peers() const { return peers_; }  // by internal address
    const Peer* find(const std::string& address) const;
    /// It has answered a heartbeat sent within kReachableDuration.
    bool isReachable(const std::string& address, Millis now) const;
    /// It has not answered for kSuspectTimeout.
    bool isSuspected(const std::string& address, Millis now) const;
    std::vector<std::string> reachablePeers(Millis now) const;
    /// Members and voters of the view that are suspected.
    std::vector<std::string> unresponsivePeers(Millis now) const;
    /// Some reachable process reports that it reaches this address.
    bool isReachedByAnyPeer(const std::string& address, Millis now) const;

    std::uint64_t lastSequence() const { return sequence_; }
    Millis lastRoundAt() const { return lastRoundAt_; }
    Millis nextRoundAt() const { return nextRoundAt_; }
    /// A majority of the view's voters, this disk perhaps included, is reachable.
    bool isMajorityReachable(Millis now) const;
    /// A majority of the view's voters, this disk perhaps included, was unsealed in this epoch as of an answer to a heartbeat of
    /// this round or a later one. Never while this process is sealed.
    bool hasMajorityContactSinceRound(std::uint64_t sequence) const;
    /// The same for heartbeats sent at `time` or later.
    bool hasMajorityContactSinceTime(Millis time) const;

private:
    // A leaving process that no view lists any more still asks whether the view without it is installed.
    bool monitorsView() const {
        return membership_.isInChain() || membership_.isVoter() || membership_.leaving;
    }
    Peer* add(Millis now, const Member& member);
    bool evictOldestJoiner();
    template <class Condition>
    bool majorityOfVoters(Condition condition) const;

    const Membership& membership_;
    Outbox& outbox_;
    SplitMix random_;
    std::map<std::string, Peer> peers_;
    std::set<std::string>
        monitored_;  // the other members and voters of the view, while this process watches them
    std::uint64_t sequence_ = 0;
    Millis lastRoundAt_ = Peer::kNever;
    Millis nextRoundAt_;
};

}  // namespace beechpoint::replica
