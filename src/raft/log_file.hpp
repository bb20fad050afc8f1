// What a ledger must not forget over a restart, as bytes: a whole file, and a short log of records after it. Free of
// I/O: Journal says what has to be written, readKept() puts together what was read. Folder (ledger/folder.hpp) carries it
// to the disk.
//
//     whole   "beechpoint ledger 1\n", xxHash64 of the rest (8 bytes), MessagePack: group, member, generation, state, entries
//     record  length (4), number (4), xxHash of these two and the generation (4), MessagePack, xxHash64 of that (8)
//
// A record holds what one step of the ledger changed, so a step is kept whole or not at all. Numbers are big-endian.
//
// What is read of a damaged file: nothing. A voter that took an older state for its newest would break its word, while one
// that comes back with nothing asks the others (ledger.hpp). Only a log that ends in the middle of its last record,
// whose head is sound, is a write that a crash cut short, and was never answered for: it is read up to there.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "raft/raft_consensus.hpp"

namespace beechpoint::raft {

struct Write {
    bool whole = false;  // a new file, and a new empty log, in place of all before
    std::uint64_t generation = 0;
    std::string bytes;  // empty: nothing changed
};

class Journal {
public:
    // Generations come from the member's life, which never comes twice: so no log that an earlier life left lying about is
    // ever taken for one of this life's.
    Journal(std::string group, std::string self, ProcessIncarnation processIncarnation)
        : group_(std::move(group)), self_(std::move(self)), generation_(processIncarnation) {}

    // What changed since the call before; the first one gives the whole. Above `mostLog` bytes of log: the whole anew.
    Write changes(const RaftConsensus& raft, std::size_t mostLog = 128 * 1024);

private:
    std::string whole(const RaftConsensus& raft);

    std::string group_, self_;
    std::uint64_t generation_;
    std::uint32_t number_ = 0;  // of the next record
    std::size_t logged_ = 0;
    // As written last.
    bool any_ = false;
    std::uint64_t groupNumber_ = 0;
    Term term_ = 0, promised_ = 0;
    std::string vote_;
    Index base_ = 0;
    Digest baseDigest_ = 0;
    std::vector<Digest> digests_;  // of the entries after base_
};

enum class Reading { sound, cutShort, none, foreign, damaged };
const char* nameOf(Reading reading);

struct Read {
    Reading how = Reading::none;
    std::uint64_t generation = 0;
    std::optional<PersistentState> kept;  // where sound or cut short
};
// The whole's generation alone, to find its log by; 0: it can't be read.
std::uint64_t generationOf(std::string_view whole);
Read readKept(const std::string& group, const std::string& self, std::string_view whole,
              std::string_view log);

}  // namespace beechpoint::raft
