// Heartbeats: who answers, with what status, and since when. Everything known of another process comes from its answers to
// this process's own heartbeats, ordered by the time of sending on this process's clock; so an answer proves both
// directions of a link, and an answer that waited while this process was frozen proves nothing recent.
#pragma once

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

struct Peer {
    static constexpr Millis kNever = -1e18;

    Member member;  // as of the last answer, or of its Join
    std::uint64_t epoch = 0;
    Status status;
    Millis watchedSince = kNever;       // silence counts from here on at the earliest
    Millis answeredSentAt = kNever;     // when the heartbeat that it answered last was sent
    Millis answeringSince = kNever;     // it has answered steadily since
    Millis heardSince = kNever;         // the same, but for gaps below kLearnMost
    std::uint64_t vouchedSequence = 0;  // last round that it answered in the present epoch, unsealed
    Millis vouchedSentAt = kNever;
    Millis joinedAt = kNever;  // of its last Join
    Millis toldViewAt = kNever;
};

class FailureDetector {
public:
    FailureDetector(const Membership& membership, Outbox& outbox, std::uint64_t seed, Millis now);

    void tick(Millis now);
    void startRound(Millis now);
    // The process did not run for a while: silence of others counts anew.
    void wake(Millis now);
    void enterView(Millis now);

    void onHeartbeat(const Member& from, const Heartbeat& heartbeat, Status own);
    // The peer that it updated, or nullptr if the answer is old or foreign.
    const Peer* onReply(Millis now, const Message& message, const HeartbeatReply& reply);
    void onJoin(Millis now, const Member& from);
    // Whether to send this process the view now; bounds how often that happens.
    bool mayTellView(Millis now, const Member& to);

    const std::map<std::string, Peer>& peers() const { return peers_; }  // by internal address
    const Peer* find(const std::string& address) const;
    bool reachable(const std::string& address, Millis now) const;
    bool suspected(const std::string& address, Millis now) const;
    std::vector<std::string> reached(Millis now) const;
    std::vector<std::string> unheard(Millis now) const;

    std::uint64_t lastSequence() const { return sequence_; }
    Millis lastRoundAt() const { return lastRoundAt_; }
    Millis nextRoundAt() const { return nextRoundAt_; }
    // A majority of the view's voters, this disk perhaps included, is unsealed in this epoch as of an answer to a heartbeat of
    // this round or a later one.
    bool vouchedSinceRound(std::uint64_t sequence) const;
    // The same for heartbeats sent at `time` or later.
    bool vouchedSinceTime(Millis time) const;

private:
    // A leaving process that no view lists any more still asks whether the view without it is settled.
    bool watches() const { return membership_.inChain() || membership_.votes() || membership_.leaving; }
    Peer* add(Millis now, const Member& member);
    bool makeRoom();
    template <class Vouches>
    bool majorityVouches(Vouches vouches) const;

    const Membership& membership_;
    Outbox& outbox_;
    SplitMix random_;
    std::map<std::string, Peer> peers_;
    std::set<std::string>
        watched_;  // the other members and voters of the view, while this process watches them
    std::uint64_t sequence_ = 0;
    Millis lastRoundAt_ = Peer::kNever;
    Millis nextRoundAt_;
};

}  // namespace beechpoint::replica
