// What the members of a group say to each other about the ledger. Values only: no wire (peers/ carries them).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace beechpoint::raft {

using Index = std::uint64_t;               // of an entry, from 1; 0: before the first
using Term = std::uint64_t;                // a leader's time in office, from 1
using Digest = std::uint64_t;              // over all entries up to one, in order
using ProcessIncarnation = std::uint64_t;  // one start of a process; never used twice

inline constexpr std::size_t kMaxEntryBytes =
    140;  // bytes of an entry: with all that goes with it, one datagram
inline constexpr std::size_t kMaxVoters = 7;
inline constexpr std::size_t kMaxMemberNameBytes = 19;   // bytes of a member's name
inline constexpr std::size_t kSnapshotChunkBytes = 130;  // bytes of a snapshot in one message

enum class Kind : std::uint8_t {
    begin,    // a leader's first; means nothing
    command,  // for the machine
    voters    // the new set, names with a space between; in force from its appending on
};

struct Entry {
    Term term = 0;
    Kind kind = Kind::begin;
    std::string data;
    bool operator==(const Entry&) const = default;
};

// Would you vote for me in this term? Who says yes remembers the term, so that a majority knows of it before
// anybody votes in it.
struct PreVote {
    Term term = 0;
    Index last = 0;
    Term lastTerm = 0;
};
struct PreVoteReply {
    Term term = 0;  // as asked
    bool yes = false;
    Term known = 0;  // the newest that the answerer knows
};
struct VoteRequest {
    Term term = 0;
    Index last = 0;
    Term lastTerm = 0;
};
struct VoteReply {
    Term term = 0;
    bool yes = false;
};
struct Append {  // also the sign of life, with no entry
    Term term = 0;
    Index prev = 0;
    Digest prevDigest = 0;
    Index commit = 0;
    std::uint64_t round = 0;  // of signs of life; rises within a term
    bool holds = false;
    Entry entry;
};
struct AppendReply {
    Term term = 0;
    bool ok = false;
    Index match = 0;  // ok: equal up to here; else: try from here on
    std::uint64_t round = 0;
    bool counts = false;  // it is a voter with its memory whole
};
// A voter that lost its memory asks how things stand; the nonce makes old answers worthless.
struct StateRequest {
    std::uint64_t nonce = 0;
};
enum class Standing : std::uint8_t { empty, recovering, normal };
struct StateReply {
    std::uint64_t nonce = 0;
    Standing standing = Standing::empty;
    Term term = 0;
    Term promised = 0;
    bool leads = false;
    Index last = 0;
    std::uint64_t number = 0;  // of the group; 0: not founded
    bool voter = false;        // the asker is one, as the answerer has it
};
// The group begins, by an operator's word: only at that very life of an empty member.
struct Found {
    std::uint64_t number = 0;
    ProcessIncarnation processIncarnation = 0;
};
struct SnapshotChunk {  // of a snapshot
    Term term = 0;
    Index index = 0;  // that it stands for
    Term indexTerm = 0;
    Digest digest = 0;
    std::uint64_t sum = 0;  // hash of the whole
    std::uint32_t offset = 0, total = 0;
    std::string bytes;
};
struct SnapshotChunkReply {
    Term term = 0;
    Index index = 0;
    std::uint32_t offset = 0;  // wanted next
};
struct Pull {  // a learner's question for what comes after
    Index last = 0;
    Digest digest = 0;
};
struct Tail {  // its answer: settled entries only
    Index prev = 0;
    Digest prevDigest = 0;
    Index commit = 0;
    bool holds = false;
    Entry entry;
};

using Body = std::variant<PreVote, PreVoteReply, VoteRequest, VoteReply, Append, AppendReply, StateRequest,
                          StateReply, Found, SnapshotChunk, SnapshotChunkReply, Pull, Tail>;

struct Message {
    std::string from, to;
    ProcessIncarnation processIncarnation = 0;  // of the sender
    std::uint64_t number = 0;                   // of the sender's group; 0: not founded
    Body body;
};

}  // namespace beechpoint::raft
