/// The messages between the members of a group about the Raft log. Values only; cluster/wire.hpp has their form on the
/// wire, in which the order of the fields and the enumerators' numbers are fixed.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace beechpoint::raft {

using Index = std::uint64_t;               // of an entry, from 1; 0: before the first
using Term = std::uint64_t;                // of one leader at most, from 1 (Raft, 5.1)
using Digest = std::uint64_t;              // over all entries up to one, in order
using ProcessIncarnation = std::uint64_t;  // one start of a process; never used twice

inline constexpr std::size_t kMaxEntryBytes =
    140;  // bytes of an entry: with all that goes with it, one datagram
inline constexpr std::size_t kMaxVoters = 7;
inline constexpr std::size_t kMaxMemberNameBytes = 19;   // bytes of a member's name
inline constexpr std::size_t kSnapshotChunkBytes = 130;  // bytes of a snapshot in one message

enum class EntryKind : std::uint8_t {
    noOp,     // a leader's first entry; changes nothing
    command,  // for the machine
    voters    // the new set, names with a space between; in force from its appending on
};

struct Entry {
    Term term = 0;
    EntryKind kind = EntryKind::noOp;
    std::string data;
    bool operator==(const Entry&) const = default;
};

/// Raft thesis, 9.6: would the receiver vote for the sender in this term? Who grants it remembers the term, so that a
/// majority knows of it before anybody votes in it.
struct PreVote {
    Term term = 0;
    Index lastLogIndex = 0;
    Term lastLogTerm = 0;
};
struct PreVoteReply {
    Term term = 0;  // as asked
    bool voteGranted = false;
    Term newestTerm = 0;  // the newest that the answerer knows
};
struct RequestVote {
    Term term = 0;
    Index lastLogIndex = 0;
    Term lastLogTerm = 0;
};
struct RequestVoteReply {
    Term term = 0;
    bool voteGranted = false;
};
struct AppendEntries {  // the heartbeat too, with no entry (Raft, 5.2, 5.3)
    Term term = 0;
    Index prevLogIndex = 0;
    Digest prevLogDigest = 0;
    Index leaderCommit = 0;
    std::uint64_t heartbeatRound = 0;  // rises within a term
    bool hasEntry = false;
    Entry entry;
};
struct AppendEntriesReply {
    Term term = 0;
    bool success = false;
    Index matchIndex = 0;  // success: equal up to here; else: retry from here on
    std::uint64_t heartbeatRound = 0;
    bool canVote = false;  // it is a voter that has its state
};
/// A voter without state asks for the others' status (VR Revisited, 4.3); the nonce makes old responses worthless.
struct RecoveryRequest {
    std::uint64_t nonce = 0;
};
enum class RecoveryStatus : std::uint8_t { empty, recovering, normal };
struct RecoveryResponse {
    std::uint64_t nonce = 0;
    RecoveryStatus status = RecoveryStatus::empty;
    Term term = 0;
    Term promisedTerm = 0;
    bool isLeader = false;
    Index lastLogIndex = 0;
    std::uint64_t groupNumber = 0;  // of the group; 0: not founded
    bool askerIsVoter = false;      // the asker is one, as the answerer has it
};
/// The group is founded, as an operator asked: valid only at that process incarnation of an empty member.
struct FoundGroup {
    std::uint64_t groupNumber = 0;
    ProcessIncarnation processIncarnation = 0;
};
struct SnapshotChunk {  // of a snapshot
    Term term = 0;
    Index lastIncludedIndex = 0;  // that it stands for
    Term lastIncludedTerm = 0;
    Digest lastIncludedDigest = 0;
    std::uint64_t checksum = 0;  // hash of the full snapshot
    std::uint32_t offset = 0, totalBytes = 0;
    std::string bytes;
};
struct SnapshotChunkReply {
    Term term = 0;
    Index lastIncludedIndex = 0;
    std::uint32_t nextOffset = 0;  // requested next
};
struct CatchUpRequest {  // from a learner, for the entries after its own
    Index commitIndex = 0;
    Digest commitDigest = 0;
};
struct CatchUpReply {  // its reply: committed entries only
    Index prevLogIndex = 0;
    Digest prevLogDigest = 0;
    Index commitIndex = 0;
    bool hasEntry = false;
    Entry entry;
};

using Body = std::variant<PreVote, PreVoteReply, RequestVote, RequestVoteReply, AppendEntries,
                          AppendEntriesReply, RecoveryRequest, RecoveryResponse, FoundGroup, SnapshotChunk,
                          SnapshotChunkReply, CatchUpRequest, CatchUpReply>;

struct Message {
    std::string from, to;
    ProcessIncarnation processIncarnation = 0;  // of the sender
    std::uint64_t groupNumber = 0;              // of the sender's group; 0: not founded
    Body body;
};

}  // namespace beechpoint::raft
