// The ledger: an ordered log that a majority of 3, 5 or 7 named voters settles; all other members learn it.
// A state machine: takes (now, event), returns actions; no I/O, clock, socket, thread, file; random numbers come
// from a seed handed in. Times are milliseconds of any steady clock of the member's own, never going back;
// nothing is compared between members' clocks. After Ongaro's Raft (election, commit, voters one at a time),
// with the recovery of forgetful voters after Viewstamped Replication Revisited, 4.3. docs/group.md says why.
//
// What it is not: it knows no entry's meaning (Machine does), no datagram (peers/ does), no duty.
//
// One class, its definitions by concern:
//   ledger.cpp              construction, kept state, time, dispatch of messages
//   ledger_log.cpp          entries, digests, append, cut off, apply
//   ledger_election.cpp     terms, roles, pre-vote and vote
//   ledger_replication.cpp  proposals, heartbeats, commits, proof of leadership; a follower's side
//   ledger_catch_up.cpp     log compaction, snapshots in pieces, learners
//   ledger_voters.cpp       membership of the voters
//   ledger_recovery.cpp     founding, joining, recovery after lost state
//
// | role       | hears a leader | time is up        | majority says yes | a newer term | no majority heard |
// | empty      | - (see below)  | asks how it stands| -                 | -            | -                 |
// | recovering | takes entries  | asks again        | normal: follower  | noted        | -                 |
// | learner    | -              | pulls             | -                 | -            | -                 |
// | follower   | stays          | pre-candidate     | -                 | follower     | -                 |
// | pre-cand.  | follower       | asks again        | candidate         | follower     | -                 |
// | candidate  | follower       | pre-candidate     | leader            | follower     | -                 |
// | leader     | - (one a term) | signs of life     | commits           | follower     | follower          |
//
// A member that starts with nothing is empty: it neither votes nor counts. If nobody has anything, an operator
// founds the group (found()); nothing else ever makes one from nothing. If the others have a state, it recovers:
// a majority of the voters with their memory whole answer a fresh nonce, the leader of the newest term among
// them, and it has caught up with what that leader had. It then stands in the newest term any of them had promised,
// and has no vote there. An event in a role where it can't come (an old term's answer, a reply nobody asked for) is ignored.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/splitmix.hpp"
#include "raft/messages.hpp"

namespace beechpoint::raft {

// Applies what was settled, in order and alike everywhere: no clock, no random numbers, no floating point.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    // Which group this is, before anything is applied: the same at all members, higher for each new founding.
    virtual void begin(std::uint64_t number) { (void)number; }
    virtual void apply(Index index, Term term, const std::string& data) = 0;
    virtual std::string save() const = 0;
    // False: it can't be read, and nothing has changed.
    virtual bool load(const std::string& saved) = 0;
};

// What must not be forgotten over a restart, where a folder lasts. Kept before any message of that step leaves.
struct PersistentState {
    std::uint64_t groupNumber = 0;
    Term currentTerm = 0, promisedTerm = 0;
    std::string votedFor;
    Index lastIncludedIndex = 0;  // entries up to here are in `saved`
    Term lastIncludedTerm = 0;
    Digest lastIncludedDigest = 0;
    std::string snapshot;
    std::vector<std::string> lastIncludedVoters;
    std::vector<Entry> entries;
};

// All on in service. Tests turn one off to show that the checkers find what it prevents.
struct Safeguards {
    bool preVote = true;        // no election before a majority would take part
    bool ownTermCommit = true;  // commit by counting only entries of the own term
    bool recovery = true;       // false: one that forgot votes at once
};

struct Options {
    Millis heartbeatInterval = 150;
    Millis electionTimeoutMin = 500,
           electionTimeoutMax = 1000;  // without a sign of life; drawn anew each time
    Millis catchUpInterval =
        2000;  // a learner's question, with a fifth of it as jitter; more of them: cluster::Options
    std::size_t maxLogEntries = 512;     // kept; above this those behind `applied` are cut
    std::size_t maxInFlightEntries = 8;  // entries on their way to one voter
    Safeguards safeguards;
};

enum class Role { empty, recovering, learner, follower, preCandidate, candidate, leader };
const char* nameOf(Role role);

struct Actions {
    std::vector<Message> send;
    bool mustPersist = false;                    // kept() must be durable before anything of `send` leaves
    std::vector<std::string> events;             // for the log: one event each
    std::vector<std::uint64_t> confirmedTokens;  // tokens of confirm()
};

struct Counters {
    std::uint64_t elections = 0, electionsWon = 0, stepsDown = 0, conflicts = 0, processIncarnations = 0,
                  snapshotsInstalled = 0;
};

class RaftConsensus {
public:
    // `voters`: the set that a new group begins with, the same at all members. `kept`: from a folder that lasts.
    RaftConsensus(Options options, std::string self, ProcessIncarnation processIncarnation,
                  std::vector<std::string> voters, std::uint64_t seed, Millis now, StateMachine& machine,
                  const std::optional<PersistentState>& kept = std::nullopt);

    void receive(Millis now, const Message& message, Actions& out);
    void advance(Millis now, Actions& out);
    Millis nextDeadline() const;  // when advance() has something to do

    // By an operator's word, at one voter: begins a group under `number` if all voters answer that they have
    // nothing. False: this member has a state, or is no voter.
    bool foundGroup(Millis now, std::uint64_t number, Actions& out);
    // At the leader: appends. Nothing: it does not lead, or the data is too long.
    std::optional<Index> propose(Millis now, const std::string& data, Actions& out);
    // One voter more or less; false: not the leader, a change under way, no entry of the own term settled yet,
    // more than one difference, a size out of 1 to 7, or one of the new set, but for the newcomer, that is not
    // heard of late or has not its memory (the newcomer has none: it recovers by the others).
    bool changeVoters(Millis now, std::vector<std::string> voters, Actions& out);
    // Asks for proof, begun after now, that this member still leads: `token` comes in confirmed. Dropped when
    // it steps down.
    void confirmLeadership(Millis now, std::uint64_t token, Actions& out);

    Role role() const { return role_; }
    bool isLeader() const { return role_ == Role::leader; }
    // At the leader: an entry of its own term is settled, so all settled before is known and applied.
    bool isReadyLeader() const { return isLeader() && termAt(commitIndex_) == currentTerm_; }
    Millis leaderSince() const { return leaderSince_; }
    Term currentTerm() const { return currentTerm_; }
    std::uint64_t groupNumber() const { return groupNumber_; }
    const std::string& leader() const { return leader_; }  // as last heard; empty: none
    Millis lastLeaderContact() const { return lastLeaderContact_; }
    Index lastLogIndex() const { return lastIncludedIndex_ + log_.size(); }
    Index commitIndex() const { return commitIndex_; }
    Digest digestAt(Index index) const;  // 0: not kept
    const std::vector<std::string>& voters() const { return voters_; }
    bool isVoter(const std::string& name) const;
    std::size_t logSize() const { return log_.size(); }  // kept
    const Counters& counters() const { return counters_; }
    PersistentState persistentState() const;
    // Whether the state kept is one that the machine can read; `machine` is left as it was, or with that state.
    static bool isReadable(const PersistentState& kept, StateMachine& machine);
    // What kept() holds, piece by piece.
    Term promisedTerm() const { return promisedTerm_; }
    const std::string& votedFor() const { return votedFor_; }
    Index lastIncludedIndex() const { return lastIncludedIndex_; }
    const Entry& entry(Index index) const { return at(index); }  // base() < index <= last()

private:
    struct LogRecord {
        Entry entry;
        Digest digest = 0;
    };
    // `has` is what it is known to hold, `match` the part of it that counts for a majority (nothing, while it recovers). A
    // follower of which neither is known is probed: one message at a time, until one fits. Then entries go `window` ahead.
    struct Follower {
        Index nextIndex = 1, matchIndex = 0, replicatedIndex = 0;
        Index replicatedAtLastHeartbeat = 0;
        bool probing = true;
        std::uint64_t heartbeatRound = 0;  // newest answered
        Millis lastContact = -1e300;
        std::uint32_t snapshotOffset = 0;  // of a snapshot on its way
        bool canVote = false;              // by its last answer: a voter with its memory whole
    };

    template <class T>
    void send(const std::string& to, T body, Actions& out);
    template <class T>
    void sendVoters(const T& body, Actions& out);
    Term termAt(Index index) const;
    const Entry& at(Index index) const { return log_[index - lastIncludedIndex_ - 1].entry; }
    void append(Entry entry);
    void truncateFrom(Index index);
    std::size_t majority() const { return voters().size() / 2 + 1; }
    bool upToDate(Index last, Term lastTerm) const;
    bool canVote() const;
    void resetElectionTimer(Millis now);
    void enterTerm(Term term, Actions& out);
    void joinGroup(std::uint64_t number);
    void becomeFollower(Millis now, const char* why, Actions& out);
    void becomePreCandidate(Millis now, Actions& out);
    void becomeCandidate(Millis now, Actions& out);
    void becomeLeader(Millis now, Actions& out);
    void replicateTo(Millis now, const std::string& name, Actions& out, bool sign);
    void sendHeartbeats(Millis now, Actions& out);
    void advanceCommitIndex(Millis now, Actions& out);
    void applyCommitted(Actions& out);
    void compactLog();
    void reportConfirmedLeadership(Actions& out);
    void sendRecoveryRequests(Millis now, Actions& out);
    void tryRecover(Millis now, Actions& out);
    void recordIncarnation(const Message& message);
    // Takes what follows `prev`; false: this log does not hold prev, or holds another.
    bool appendIfMatching(Index prev, Digest prevDigest, bool holds, const Entry& entry, Actions& out);
    void updateVoters();
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
         newestTermSeen_ = 0;  // asked_: of the pre-vote; seen_: others' newest
    std::string votedFor_, leader_;
    Index lastIncludedIndex_ = 0;
    Term lastIncludedTerm_ = 0;
    Digest lastIncludedDigest_ = 0;
    std::vector<std::string> lastIncludedVoters_, voters_;
    std::deque<LogRecord> log_;
    Index commitIndex_ = 0, lastApplied_ = 0;
    std::string snapshot_;      // the machine at base_
    struct SnapshotCandidate {  // where the next cut goes: the machine as it was there
        Index index = 0;
        std::string snapshot;
    } nextSnapshot_;
    std::map<Index, AppendEntries>
        outOfOrder_;              // of this term, that came before what they follow: by that, at most kEarly
    Index leaderMatchIndex_ = 0;  // equal to the leader of matchedTerm_ up to here
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
