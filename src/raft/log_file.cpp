#include "raft/log_file.hpp"

#include <xxhash.h>

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>

namespace beechpoint::raft {

namespace {

constexpr std::string_view kMagic = "beechpoint ledger 1\n";
constexpr std::size_t kSum = 8, kHead = 12;
constexpr std::size_t kMostRecord = 1 << 20;

using SavedEntry = std::tuple<Term, std::uint8_t, std::string>;
using SavedEntries = std::vector<SavedEntry>;
// group, member, generation, number, term, promised, vote, base, its term, its digest, machine, voters, entries
using Whole = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t, Term, Term, std::string,
                         Index, Term, Digest, std::string, std::vector<std::string>, SavedEntries>;
// term, promised, vote, entries from here on are gone (0: none are), entries after that
using Record = std::tuple<Term, Term, std::string, Index, SavedEntries>;

template <class T>
std::string packed(const T& value) {
    msgpack::sbuffer out;
    msgpack::pack(out, value);
    return {out.data(), out.size()};
}
template <class T>
std::optional<T> unpacked(std::string_view bytes) {
    try {
        std::size_t offset = 0;
        T value = msgpack::unpack(bytes.data(), bytes.size(), offset).get().template as<T>();
        if (offset != bytes.size()) return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}
void put(std::string& out, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}
std::uint64_t get(std::string_view from, int bytes) {
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value = value << 8 | static_cast<std::uint8_t>(from[static_cast<std::size_t>(i)]);
    return value;
}
std::uint64_t sumOf(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
std::uint32_t headSum(std::string_view lengthAndNumber, std::uint64_t generation) {
    return static_cast<std::uint32_t>(sumOf(lengthAndNumber, ~generation));
}
SavedEntry saved(const Entry& e) { return {e.term, static_cast<std::uint8_t>(e.kind), e.data}; }
bool add(std::vector<Entry>& to, const SavedEntries& from) {
    for (const auto& [term, kind, data] : from) {
        if (kind > static_cast<std::uint8_t>(EntryKind::voters)) return false;
        to.push_back({term, static_cast<EntryKind>(kind), data});
    }
    return true;
}

}  // namespace

const char* nameOf(ReadOutcome reading) {
    switch (reading) {
        case ReadOutcome::intact:
            return "sound";
        case ReadOutcome::truncated:
            return "its last write was cut short";
        case ReadOutcome::absent:
            return "there is none";
        case ReadOutcome::foreign:
            return "of another group, member or version";
        case ReadOutcome::corrupt:
            return "damaged";
    }
    return "?";
}

std::string StateEncoder::encodeAll(const RaftConsensus& l) {
    const PersistentState k = l.persistentState();
    SavedEntries entries;
    for (const Entry& e : k.entries) entries.push_back(saved(e));
    const std::string body =
        packed(Whole{group_, self_, generation_, k.groupNumber, k.currentTerm, k.promisedTerm, k.votedFor,
                     k.lastIncludedIndex, k.lastIncludedTerm, k.lastIncludedDigest, k.snapshot,
                     k.lastIncludedVoters, std::move(entries)});
    std::string out(kMagic);
    put(out, sumOf(body, 1), kSum);
    return out + body;
}

StateWrite StateEncoder::encodeChanges(const RaftConsensus& l, std::size_t mostLog) {
    const bool moved = l.lastIncludedIndex() != lastIncludedIndex_ ||
                       l.digestAt(l.lastIncludedIndex()) != lastIncludedDigest_;
    StateWrite w;
    if (!hasWritten_ || moved || l.groupNumber() != groupNumber_ || logBytes_ > mostLog) {
        w.replacesAll = true;
        do generation_ = XXH3_64bits(&generation_, sizeof generation_);
        while (generation_ == 0);
        recordNumber_ = 0, logBytes_ = 0;
        w.bytes = encodeAll(l);
        digests_.clear();
    } else {
        // Digests run on from entry to entry: where one is equal, all before it are.
        std::size_t same = std::min<std::size_t>(digests_.size(), l.lastLogIndex() - lastIncludedIndex_);
        while (same > 0 && digests_[same - 1] != l.digestAt(lastIncludedIndex_ + same)) --same;
        const Index gone = same < digests_.size() ? lastIncludedIndex_ + same + 1 : 0;
        SavedEntries fresh;
        for (Index i = lastIncludedIndex_ + same + 1; i <= l.lastLogIndex(); ++i)
            fresh.push_back(saved(l.entry(i)));
        if (gone == 0 && fresh.empty() && l.currentTerm() == currentTerm_ &&
            l.promisedTerm() == promisedTerm_ && l.votedFor() == votedFor_)
            return w;
        const std::string body =
            packed(Record{l.currentTerm(), l.promisedTerm(), l.votedFor(), gone, std::move(fresh)});
        std::string head;
        put(head, body.size(), 4);
        put(head, recordNumber_, 4);
        put(head, headSum(head, generation_), 4);
        w.bytes = std::move(head) + body;
        put(w.bytes, sumOf(body, generation_ + recordNumber_), kSum);
        ++recordNumber_;
        logBytes_ += w.bytes.size();
        digests_.resize(same);
    }
    w.generation = generation_;
    hasWritten_ = true;
    groupNumber_ = l.groupNumber(), currentTerm_ = l.currentTerm(), promisedTerm_ = l.promisedTerm(),
    votedFor_ = l.votedFor();
    lastIncludedIndex_ = l.lastIncludedIndex(), lastIncludedDigest_ = l.digestAt(l.lastIncludedIndex());
    for (Index i = lastIncludedIndex_ + digests_.size() + 1; i <= l.lastLogIndex(); ++i)
        digests_.push_back(l.digestAt(i));
    return w;
}

namespace {
std::optional<Whole> readWhole(std::string_view whole) {
    if (whole.size() < kMagic.size() + kSum || !whole.starts_with(kMagic)) return std::nullopt;
    const std::string_view body = whole.substr(kMagic.size() + kSum);
    if (get(whole.substr(kMagic.size()), kSum) != sumOf(body, 1)) return std::nullopt;
    return unpacked<Whole>(body);
}
}  // namespace

std::uint64_t generationOf(std::string_view whole) {
    const auto w = readWhole(whole);
    return w ? std::get<2>(*w) : 0;
}

ReadState decodeState(const std::string& group, const std::string& self, std::string_view whole,
                      std::string_view log) {
    ReadState r;
    if (whole.empty() && log.empty()) return r;
    r.outcome = ReadOutcome::corrupt;
    auto w = readWhole(whole);
    if (!w) {
        // Another version says so in its first line; the rest of it is not ours to judge.
        if (whole.starts_with("beechpoint ledger ") && !whole.starts_with(kMagic))
            r.outcome = ReadOutcome::foreign;
        return r;
    }
    if (std::get<0>(*w) != group || std::get<1>(*w) != self) return r.outcome = ReadOutcome::foreign, r;
    PersistentState k;
    r.generation = std::get<2>(*w);
    k.groupNumber = std::get<3>(*w), k.currentTerm = std::get<4>(*w), k.promisedTerm = std::get<5>(*w),
    k.votedFor = std::get<6>(*w);
    k.lastIncludedIndex = std::get<7>(*w), k.lastIncludedTerm = std::get<8>(*w),
    k.lastIncludedDigest = std::get<9>(*w);
    k.snapshot = std::move(std::get<10>(*w)), k.lastIncludedVoters = std::move(std::get<11>(*w));
    if (!add(k.entries, std::get<12>(*w))) return r;
    bool cutShort = false;
    for (std::uint32_t number = 0; !log.empty() && !cutShort; ++number) {
        if (log.size() < kHead) {
            cutShort = true;
            break;
        }
        const std::uint64_t length = get(log, 4);
        if (get(log.substr(4), 4) != number ||
            get(log.substr(8), 4) != headSum(log.substr(0, 8), r.generation) || length > kMostRecord)
            return r;
        if (log.size() < kHead + length + kSum) {
            cutShort = true;
            break;
        }
        const std::string_view body = log.substr(kHead, length);
        if (get(log.substr(kHead + length), kSum) != sumOf(body, r.generation + number)) return r;
        const auto record = unpacked<Record>(body);
        if (!record) return r;
        const auto& [term, promised, vote, gone, fresh] = *record;
        k.currentTerm = term, k.promisedTerm = promised, k.votedFor = vote;
        if (gone != 0) {
            if (gone <= k.lastIncludedIndex || gone > k.lastIncludedIndex + k.entries.size()) return r;
            k.entries.resize(gone - k.lastIncludedIndex - 1);
        }
        if (!add(k.entries, fresh)) return r;
        log.remove_prefix(kHead + length + kSum);
    }
    r.outcome = cutShort ? ReadOutcome::truncated : ReadOutcome::intact;
    r.state = std::move(k);
    return r;
}

}  // namespace beechpoint::raft
