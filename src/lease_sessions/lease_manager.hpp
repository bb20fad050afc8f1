// The leader's side of duties: answers askers, judges by its own clock when a session has run out, grants free
// duties. A state machine over a Ledger that it is handed: (now, event) in, messages out. It acts only while
// the ledger is ready to lead; a new leader gives every session its full time anew from its election on.
//
// Why nobody else begins while a holder acts. The holder counts `ttl` from when it SENT a renewal, by a clock that
// may be slow by `drift`; it stops after ttl * (1 - drift) of its own time. The leader confirms a renewal only once a
// majority answered a sign of life sent after the renewal CAME, so no other leader was elected before it; it counts
// ttl * (1 + drift) + margin from when the renewal came, or from its own election if that is later, and only then
// settles the session's end. Both ways the end comes later, whatever is lost, late or repeated. What a holder that
// stood still does too late is turned away by the fencing number where it is carried out.
//
// Who gets a free duty: the session with the fewest duties; among equals by a hash of duty and member, so that duties
// spread alike everywhere. Who held that duty last gets it only if nobody else is in session. A session gets nothing
// in its first `settle`, and a duty that was lost waits for `settle`, so that a flapping link makes no duty flap; one
// that was given up in order is granted at once.
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
