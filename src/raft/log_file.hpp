/// Raft's persistent state as bytes: a file with the full state, and a log of records after it. Free of I/O: StateEncoder
/// says what has to be written, decodeState() puts together what was read. StateFolder (raft/state_folder.hpp) does the
/// I/O.
///
///     full    "beechpoint ledger 1\n", xxHash64 of the rest (8 bytes), MessagePack: group, member, generation, state, entries
///     record  length (4), number (4), xxHash of these two and the generation (4), MessagePack, xxHash64 of that (8)
///
/// A record holds what one step changed, so a step is persisted completely or not at all. Numbers are big-endian.
///
/// Nothing is read of a corrupt file: a voter that took an older state for its newest would break its promises, while one
/// that returns without state recovers by the others (raft_consensus.hpp). Only a log that ends in the middle of its last
/// record, whose header is sound, is a write that a crash truncated, and was never acknowledged: it is read up to there.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "raft/raft_consensus.hpp"

namespace beechpoint::raft {

struct StateWrite {
    bool replacesAll = false;  // a new file, and a new empty log, in place of all before
    std::uint64_t generation = 0;
    std::string bytes;  // empty: nothing changed
};

class StateEncoder {
public:
    // Generations come from the member's life, which never comes twice: so no log that an earlier life left lying about is
    // ever taken for one of this life's.
    StateEncoder(std::string group, std::string self, ProcessIncarnation processIncarnation)
        : group_(std::move(group)), self_(std::move(self)), generation_(processIncarnation) {}

    // What changed since the call before; the first one gives the whole. Above `mostLog` bytes of log: the whole anew.
    StateWrite encodeChanges(const RaftConsensus& raft, std::size_t mostLog = 128 * 1024);

private:
    std::string encodeAll(const RaftConsensus& raft);

    std::string group_, self_;
    std::uint64_t generation_;
    std::uint32_t recordNumber_ = 0;  // of the next record
    std::size_t logBytes_ = 0;
    // As written last.
    bool hasWritten_ = false;
    std::uint64_t groupNumber_ = 0;
    Term currentTerm_ = 0, promisedTerm_ = 0;
    std::string votedFor_;
    Index lastIncludedIndex_ = 0;
    Digest lastIncludedDigest_ = 0;
    std::vector<Digest> digests_;  // of the entries after base_
};

enum class ReadOutcome { intact, truncated, absent, foreign, corrupt };
const char* nameOf(ReadOutcome reading);

struct ReadState {
    ReadOutcome outcome = ReadOutcome::absent;
    std::uint64_t generation = 0;
    std::optional<PersistentState> state;  // where sound or cut short
};
// The whole's generation alone, to find its log by; 0: it can't be read.
std::uint64_t generationOf(std::string_view whole);
ReadState decodeState(const std::string& group, const std::string& self, std::string_view whole,
                      std::string_view log);

}  // namespace beechpoint::raft
