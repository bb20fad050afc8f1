/// Heartbeat failure detector: tracks which processes reply, their status, and since when they have replied.
///
/// Everything recorded about another process comes from its replies to this process's heartbeats, ordered by their send time on
/// the local clock. A reply therefore proves that both directions of a link work, and a reply that was queued while this process
/// was suspended does not count as recent. Owns the table of peers and the timer of the heartbeat rounds; ViewPlanner uses the
/// reports to decide on view changes.
///
/// Reads rely on contact with a majority of the voters (Raft thesis, 6.4): a voter that replied unsealed in this epoch had not
/// promised for the next view when the heartbeat was sent, so no later view can have acknowledged anything before that time.
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

/// Recorded state of another process. Times are in ms on the local clock.
struct Peer {
    static constexpr Millis kNever = -1e18;

    Member member;  // as of the last answer, or of its Join
    std::uint64_t epoch = 0;
    Status status;
    Millis monitoredSince = kNever;           // earliest start of its time-out
    Millis answeredHeartbeatSentAt = kNever;  // when the last heartbeat that it answered was sent
    Millis respondingSince = kNever;          // start of the replies without a gap above kReachableDuration
    Millis respondingWithGapsSince = kNever;  // the same, allowing gaps of up to kMaxLearningTime
    std::uint64_t contactRound = 0;           // last round answered as an unsealed voter of this epoch
    Millis contactSentAt = kNever;            // when that heartbeat was sent
    Millis joinedAt = kNever;                 // when its last Join arrived
    Millis viewSentAt = kNever;               // when the view was last sent to it because it was behind

    /// Whether its last reply reports this internal address as reachable.
    bool reaches(const std::string& address) const {
        return std::ranges::find(status.reachablePeers, address) != status.reachablePeers.end();
    }
};

class FailureDetector {
public:
    /// @param seed seeds the jitter of the heartbeat rounds
    FailureDetector(const Membership& membership, Outbox& outbox, std::uint64_t seed, Millis now);

    void tick(Millis now);
    /// Sends a heartbeat to all monitored processes and to those that recently asked to join.
    void startRound(Millis now);
    /// Restarts the time-outs of all peers after this process was suspended.
    void onProcessResumed(Millis now);
    /// Called when the current view or this process's role in it has changed.
    void enterView(Millis now);

    void onHeartbeat(const Member& from, const Heartbeat& heartbeat, Status own);
    /// Returns the updated peer, or nullptr if the reply is outdated or was meant for another session.
    const Peer* onReply(Millis now, const Message& message, const HeartbeatReply& reply);
    void onJoin(Millis now, const Member& from);
    /// Whether to send the view to this process now; limits the rate.
    bool maySendView(Millis now, const Member& to);

    const std::map<std::string, Peer>& peers() const { return peers_; }  // by internal address
    const Peer* find(const std::string& address) const;
    /// The peer if it isReachable(), else nullptr.
    const Peer* findReachable(const std::string& address, Millis now) const;
    /// Whether it has answered a heartbeat sent within the last kReachableDuration.
    bool isReachable(const std::string& address, Millis now) const;
    /// Whether it has not answered for kSuspectTimeout.
    bool isSuspected(const std::string& address, Millis now) const;
    std::vector<std::string> reachablePeers(Millis now) const;
    /// Suspected members and voters of the view.
    std::vector<std::string> unresponsivePeers(Millis now) const;
    /// Whether any reachable process reports this address as reachable.
    bool isReachedByAnyPeer(const std::string& address, Millis now) const;

    std::uint64_t lastSequence() const { return sequence_; }
    Millis lastRoundAt() const { return lastRoundAt_; }
    Millis nextRoundAt() const { return nextRoundAt_; }
    /// Whether a majority of the view's voters is reachable; the local disk counts if it is a voter.
    bool isMajorityReachable(Millis now) const;
    /// Whether a majority of the view's voters was unsealed in this epoch according to a reply to a heartbeat of this round or
    /// a later one; the local disk counts if it is a voter. Always false while this process is sealed.
    bool hasMajorityContactSinceRound(std::uint64_t sequence) const;
    /// The same for heartbeats sent at `time` or later.
    bool hasMajorityContactSinceTime(Millis time) const;

private:
    // A leaving process that no view lists any more must still find out whether the view without it is installed.
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
        monitored_;  // the other members and voters of the view, while this process monitors them
    std::uint64_t sequence_ = 0;
    Millis lastRoundAt_ = Peer::kNever;
    Millis nextRoundAt_;
};

}  // namespace beechpoint::replica
