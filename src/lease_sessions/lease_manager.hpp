/// The leader's side of leases: answers clients, judges by its own clock when a session has expired, grants free roles.
/// A state machine over RaftConsensus, which it is handed: (now, event) in, messages out; not thread-safe. It acts only
/// while the leader is ready; a new leader extends every session by its full time from its election on.
///
/// Why nobody else begins while a lease holder acts (Gray and Cheriton, 1989). The holder counts `ttl` from when it SENT a
/// renewal, by a clock that may be slow by `drift`; it stops after ttl * (1 - drift) of its own time. The leader confirms
/// a renewal only once a majority answered a heartbeat sent after the renewal was RECEIVED, so no other leader was elected
/// before it; it counts ttl * (1 + drift) + margin from that receipt, or from its own election if that is later, and only
/// then commits the session's end. So the end comes later at the leader, whatever is lost, late or repeated. What a paused
/// holder does too late is rejected by the fencing token where the act is done (Chubby's sequencer, 2006).
///
/// A free role goes to the session with the fewest leases; among equals by a hash of role and member, so that roles spread
/// alike everywhere. The last holder gets it only if nobody else is in session. A session gets nothing in its first
/// `stabilization`, and a role whose session expired waits for `stabilization`, so that a flapping link makes no lease
/// flap; a released one is granted at once.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lease_sessions/messages.hpp"

namespace beechpoint::lease_sessions {

struct Times {
    Millis ttl = 2000;
    double drift = 0.06;  // two clocks run apart by at most twice this
    Millis margin = 50;
    Millis stabilization = 300;
    bool extendOnElection = true;  // a new leader lets all leases run anew; off only in tests
};

class LeaseManager {
public:
    LeaseManager(Times times, std::string self, ProcessIncarnation processIncarnation,
                 raft::RaftConsensus& raft, const SessionTable& table);

    void receive(Millis now, const Message& message, raft::Actions& raftActions, std::vector<Message>& out);
    void leadershipConfirmed(Millis now, std::uint64_t token, std::vector<Message>& out);
    // Called after every step of the ledger and when next() has come.
    void advance(Millis now, raft::Actions& raftActions, std::vector<Message>& out);
    Millis nextDeadline() const { return deadline_; }

    std::uint64_t expiredSessions() const { return expired_; }

private:
    struct PendingCommand {  // a request on its way through the ledger
        std::string member;
        ProcessIncarnation processIncarnation = 0;
        std::uint64_t number = 0;
        Millis since = 0;
    };
    struct TrackedSession {
        Index number = 0;
        Millis since = 0;  // in session, as seen here
        Millis until = 0;  // its end, unless renewed
        bool ending = false;
        std::size_t nextReported = 0;
    };
    struct PendingRenewal {
        std::string member;
        ProcessIncarnation processIncarnation = 0;
        std::uint64_t number = 0;
        Index session = 0;
        Millis receivedAt = 0;
    };
    Millis sessionDuration() const { return times_.ttl * (1 + times_.drift) + times_.margin; }
    void followTable(Millis now);
    void expireSessions(Millis now, raft::Actions& raftActions);
    void grantFreeRoles(Millis now, raft::Actions& raftActions);
    void answerCommitted(Millis now, std::vector<Message>& out);

    Times times_;
    std::string self_;
    ProcessIncarnation processIncarnation_;
    raft::RaftConsensus& raft_;
    const SessionTable& table_;
    bool isLeading_ = false;
    std::uint64_t tableRevision_ = 0;  // the table's revision
    std::map<std::string, TrackedSession> sessions_;
    std::map<std::string, Millis> freeSince_;
    std::map<std::string, raft::Index> pendingGrants_;  // duty: the entry on its way
    std::vector<std::string> grantsToNotify_;           // to be told
    std::vector<PendingCommand> pendingCommands_;
    std::map<std::uint64_t, PendingRenewal> pendingRenewals_;
    std::uint64_t lastToken_ = 0, expired_ = 0;
    Millis deadline_ = 1e300;
};

}  // namespace beechpoint::lease_sessions
