/// Raft consensus: 3, 5 or 7 named voters agree on a replicated log; all other members are learners.
///
/// A state machine: takes (now, event), returns actions; no I/O, clock, socket, thread or file. Random numbers come
/// from a seed. Times are milliseconds of any steady clock of this member's own that never goes back; clocks of two
/// members are never compared. Not thread-safe: called from the event loop's thread only.
///
/// Sources: Ongaro and Ousterhout's Raft (elections 5.2, replication 5.3, commit rule 5.4.2, snapshots 7), Ongaro's
/// thesis (voters one at a time 4.1, learners 4.2.1, leadership proof for reads 6.4, pre-vote 9.6), and Viewstamped
/// Replication Revisited, 4.3, for voters that lost their state. docs/group.md gives the reasons.
///
/// What it is not: it knows no entry's meaning (StateMachine does), no datagram (gossip/datagram.hpp), no lease.
///
/// One class, its definitions by concern; the log itself is raft::Log (log.hpp):
///   raft_consensus.cpp   construction, persistent state, time, dispatch of messages
///   leader_election.cpp  terms, roles, pre-vote and vote
///   log_replication.cpp  proposals, heartbeats, commits, proof of leadership; a follower's side
///   log_catch_up.cpp     log compaction, snapshots in chunks, learners
///   voter_changes.cpp    membership of the voters
///   state_recovery.cpp   founding, joining, recovery after lost state
///
/// | role          | hears a leader  | time-out          | majority grants   | a newer term | no majority heard |
/// | ------------- | --------------- | ----------------- | ----------------- | ------------ | ----------------- |
/// | empty         | - (see below)   | asks for status   | -                 | -            | -                 |
/// | recovering    | takes entries   | asks again        | normal: follower  | recorded     | -                 |
/// | learner       | -               | asks for entries  | -                 | -            | -                 |
/// | follower      | stays           | pre-candidate     | -                 | follower     | -                 |
/// | pre-candidate | follower        | asks again        | candidate         | follower     | -                 |
/// | candidate     | follower        | pre-candidate     | leader            | follower     | -                 |
/// | leader        | - (one a term)  | sends heartbeats  | commits           | follower     | follower          |
///
/// A member that starts without state is empty: it neither votes nor counts for a majority. If nobody has state, an
/// operator founds the group (foundGroup()); nothing else ever makes one. If the others have state, it recovers: a
/// majority of the voters that have their state answer a fresh nonce, the leader of the newest term is among them,
/// and this log holds what that leader's held. It then stands in the newest term that any of them had promised, and
/// has no vote there. An event in a role where it can't come (an old term's reply, a reply nobody asked for) is
/// ignored.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "raft/log.hpp"
#include "raft/messages.hpp"

namespace beechpoint::raft {

/// Applies committed entries in order, with the same result at all members (State Machine Safety, Raft, figure 3):
/// no clock, no random numbers, no floating point.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    /// Which group this is, before anything is applied: the same at all members, higher for each new founding.
    virtual void begin(std::uint64_t number) { (void)number; }
    virtual void apply(Index index, Term term, const std::string& data) = 0;
    virtual std::string save() const = 0;
    /// False: it can't be read, and nothing has changed.
    virtual bool load(const std::string& saved) = 0;
};

/// Raft's persistent state (figure 2), for members with a durable folder. Durable before any message of the same step
/// leaves (Actions::mustPersist).
struct PersistentState {
    std::uint64_t groupNumber = 0;
    Term currentTerm = 0, promisedTerm = 0;
    std::string votedFor;
    Index lastIncludedIndex = 0;  // entries up to here are in `snapshot`
    Term lastIncludedTerm = 0;
    Digest lastIncludedDigest = 0;
    std::string snapshot;
    std::vector<std::string> lastIncludedVoters;
    std::vector<Entry> entries;
};

/// All on in service. Tests turn one off to show that the checkers find what it prevents.
struct Safeguards {
    bool preVote = true;        // no election before a majority would take part
    bool ownTermCommit = true;  // commit by counting only entries of the own term
    bool recovery = true;       // false: a voter that lost its state votes at once
};

struct Options {
    Millis heartbeatInterval = 150;
    Millis electionTimeoutMin = 500,
           electionTimeoutMax = 1000;  // without a heartbeat; drawn anew each time
    Millis catchUpInterval =
        2000;  // a learner's request, with a fifth of it as jitter; cluster::Core raises it by the members
    std::size_t maxLogEntries = 512;     // in the log; above this the applied ones are compacted
    std::size_t maxInFlightEntries = 8;  // entries in flight to one voter
    Safeguards safeguards;
};

enum class Role { empty, recovering, learner, follower, preCandidate, candidate, leader };
const char* nameOf(Role role);

struct Actions {
    std::vector<Message> send;
    bool mustPersist = false;         // persistentState() must be durable before anything of `send` leaves
    std::vector<std::string> events;  // for the operators' log: a line each
    std::vector<std::uint64_t> confirmedTokens;  // tokens of confirmLeadership()
};

struct Counters {
    std::uint64_t elections = 0, electionsWon = 0, stepsDown = 0, conflicts = 0, processIncarnations = 0,
                  snapshotsInstalled = 0;
};

class RaftConsensus {
public:
    /// `voters`: the set that a new group begins with, the same at all members. `kept`: from a durable folder.
    /// Throws std::invalid_argument if `kept` holds a snapshot that the machine can't read.
    RaftConsensus(Options options, std::string self, ProcessIncarnation processIncarnation,
                  std::vector<std::string> voters, std::uint64_t seed, Millis now, StateMachine& machine,
                  const std::optional<PersistentState>& kept = std::nullopt);

    void receive(Millis now, const Message& message, Actions& out);
    void advance(Millis now, Actions& out);
    Millis nextDeadline() const;  // when advance() has something to do

    /// Called for an operator at one voter: founds a group under `number` if all voters answer that they have no
    /// state. False: this member has state, or is no voter.
    bool foundGroup(Millis now, std::uint64_t number, Actions& out);
    /// At the leader: appends a command and returns its index. Nothing: not the leader, or over kMaxEntryBytes.
    std::optional<Index> propose(Millis now, const std::string& data, Actions& out);
    /// Adds or removes one voter (Raft thesis, 4.1). False: not the leader, a change under way, no entry of the own
    /// term committed yet, more than one difference, a size out of 1 to 7, or a voter of the new set, other than the
    /// new one, without recent contact or without its state (the new one has none: it recovers by the others).
    bool changeVoters(Millis now, std::vector<std::string> voters, Actions& out);
    /// Asks for proof, begun after now, that this member still leads (Raft thesis, 6.4): `token` comes back in
    /// Actions::confirmedTokens. Dropped when it steps down.
    void confirmLeadership(Millis now, std::uint64_t token, Actions& out);

    Role role() const { return role_; }
    bool isLeader() const { return role_ == Role::leader; }
    /// At the leader: an entry of its own term is committed, so all entries committed before are known and applied.
    bool isReadyLeader() const { return isLeader() && log_.termAt(commitIndex_) == currentTerm_; }
    Millis leaderSince() const { return leaderSince_; }
    Term currentTerm() const { return currentTerm_; }
    std::uint64_t groupNumber() const { return groupNumber_; }
    const std::string& leader() const { return leader_; }  // the last one heard; empty: none
    Millis lastLeaderContact() const { return lastLeaderContact_; }
    Index lastLogIndex() const { return log_.lastIndex(); }
    Index commitIndex() const { return commitIndex_; }
    Digest digestAt(Index index) const { return log_.digestAt(index); }  // 0: not in the log
    const std::vector<std::string>& voters() const { return log_.voters(); }
    bool isVoter(const std::string& name) const;
    std::size_t logSize() const { return log_.size(); }
    const Counters& counters() const { return counters_; }
    PersistentState persistentState() const;
    /// Whether the machine can read the snapshot in `kept`; `machine` is left as it was, or with that state.
    static bool isReadable(const PersistentState& kept, StateMachine& machine);
    // The parts of persistentState().
    Term promisedTerm() const { return promisedTerm_; }
    const std::string& votedFor() const { return votedFor_; }
    Index lastIncludedIndex() const { return log_.lastIncludedIndex(); }
    const Entry& entry(Index index) const {
        return log_.entry(index);
    }  // lastIncludedIndex() < index <= lastLogIndex()

private:
    // A leader's view of another voter (nextIndex and matchIndex: Raft, figure 2). replicatedIndex is what it is known to
    // hold; matchIndex is the part of it that counts for a majority: nothing while it recovers. A follower of which
    // neither is known is probed, one message at a time, until one matches; then entries are pipelined.
    struct Follower {
        Index nextIndex = 1, matchIndex = 0, replicatedIndex = 0;
        Index replicatedAtLastHeartbeat = 0;
        bool probing = true;
        std::uint64_t heartbeatRound = 0;  // newest answered
        Millis lastContact = -1e300;
        std::uint32_t snapshotOffset = 0;  // of a snapshot on its way
        bool canVote = false;              // by its last reply: a voter that has its state
    };

    template <class T>
    void send(const std::string& to, T body, Actions& out);
    template <class T>
    void sendVoters(const T& body, Actions& out);
    void truncateFrom(Index index);
    std::size_t majority() const { return voters().size() / 2 + 1; }
    bool canVote() const;
    void resetElectionTimer(Millis now);
    void enterTerm(Term term, Actions& out);
    void joinGroup(std::uint64_t number);
    void becomeFollower(Millis now, const char* why, Actions& out);
    void becomePreCandidate(Millis now, Actions& out);
    void becomeCandidate(Millis now, Actions& out);
    void becomeLeader(Millis now, Actions& out);
    void replicateTo(Millis now, const std::string& name, Actions& out, bool isHeartbeat);
    void sendHeartbeats(Millis now, Actions& out);
    void advanceCommitIndex(Millis now, Actions& out);
    void applyCommitted(Actions& out);
    void compactLog();
    void reportConfirmedLeadership(Actions& out);
    void sendRecoveryRequests(Millis now, Actions& out);
    void tryRecover(Millis now, Actions& out);
    void recordIncarnation(const Message& message);
    // The consistency check of AppendEntries (Raft, 5.3): appends what follows prevLogIndex; false: this log does not
    // hold that index, or holds another entry there.
    bool appendIfMatching(Index prevLogIndex, Digest prevLogDigest, bool hasEntry, const Entry& entry,
                          Actions& out);
    void updateRole(Millis now, Actions& out);
    void sendSnapshotChunk(const std::string& to, std::uint32_t offset, Actions& out);
    void installSnapshot(Millis now, const SnapshotChunk& body, Actions& out);

    void on(Millis now, const Message& message, const PreVote& body, Actions& out);
    void on(Millis now, const Message& message, const PreVoteReply& body, Actions& out);
    void on(Millis now, const Message& message, const RequestVote& body, Actions& out);
    void on(Millis now, const Message& message, const RequestVoteReply& body, Actions& out);
    void on(Millis now, const Message& message, const AppendEntries& body, Actions& out);
    void on(Millis now, const Message& message, const AppendEntriesReply& body, Actions& out);
    void on(Millis now, const Message& message, const RecoveryRequest& body, Actions& out);
    void on(Millis now, const Message& message, const RecoveryResponse& body, Actions& out);
    void on(Millis now, const Message& message, const FoundGroup& body, Actions& out);
    void on(Millis now, const Message& message, const SnapshotChunk& body, Actions& out);
    void on(Millis now, const Message& message, const SnapshotChunkReply& body, Actions& out);
    void on(Millis now, const Message& message, const CatchUpRequest& body, Actions& out);
    void on(Millis now, const Message& message, const CatchUpReply& body, Actions& out);

    Options options_;
    std::string self_;
    ProcessIncarnation processIncarnation_;
    std::vector<std::string> firstVoters_;
    SplitMix draw_;
    StateMachine& machine_;

    std::uint64_t groupNumber_ = 0;
    Role role_ = Role::empty;
    Term currentTerm_ = 0, promisedTerm_ = 0, preVoteTerm_ = 0,
         newestTermSeen_ = 0;  // the last: of other members
    std::string votedFor_, leader_;
    Log log_;
    Index commitIndex_ = 0, lastApplied_ = 0;
    std::string snapshot_;      // the machine at lastIncludedIndex, after a line with the voters
    struct SnapshotCandidate {  // the next compaction goes up to here: the machine as it was there
        Index index = 0;
        std::string snapshot;
    } nextSnapshot_;
    std::map<Index, AppendEntries>
        outOfOrder_;  // by prevLogIndex: of this term, received before the entry they follow; at most kMaxOutOfOrder
    Index leaderMatchIndex_ = 0;  // equal to the log of the leader of leaderMatchTerm_ up to here
    Term leaderMatchTerm_ = 0;

    Millis lastLeaderContact_ = -1e300, electionDeadline_ = 0, heartbeatDeadline_ = 0, requestDeadline_ = 0,
           leaderSince_ = 0;
    std::set<std::string> votesGranted_;
    std::map<std::string, Follower> followers_;
    std::uint64_t heartbeatRound_ = 0;
    std::map<std::uint64_t, std::vector<std::uint64_t>>
        pendingConfirmations_;  // tokens by the round that proves them

    std::uint64_t nonce_ = 0, foundingNumber_ = 0;
    Millis foundingDeadline_ = 0;
    std::map<std::string, ProcessIncarnation> foundedMembers_;  // whom this member founded the group at
    struct ReceivedResponse {
        RecoveryResponse response;
        ProcessIncarnation processIncarnation = 0;
    };
    std::map<std::string, ReceivedResponse> recoveryResponses_;

    struct IncomingSnapshot {
        Index index = 0;
        Digest digest = 0;
        std::uint64_t checksum = 0;
        std::string bytes;
    } incomingSnapshot_;
    std::map<std::string, ProcessIncarnation> processIncarnations_;  // as last heard
    Counters counters_;
};

}  // namespace beechpoint::raft
