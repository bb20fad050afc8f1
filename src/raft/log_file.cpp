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
        if (kind > static_cast<std::uint8_t>(Kind::voters)) return false;
        to.push_back({term, static_cast<Kind>(kind), data});
    }
    return true;
}

}  // namespace

const char* nameOf(Reading reading) {
    switch (reading) {
        case Reading::sound:
            return "sound";
        case Reading::cutShort:
            return "its last write was cut short";
        case Reading::none:
            return "there is none";
        case Reading::foreign:
            return "of another group, member or version";
        case Reading::damaged:
            return "damaged";
    }
    return "?";
}

std::string Journal::whole(const RaftConsensus& l) {
    const PersistentState k = l.kept();
    SavedEntries entries;
    for (const Entry& e : k.entries) entries.push_back(saved(e));
    const std::string body =
        packed(Whole{group_, self_, generation_, k.number, k.term, k.promised, k.vote, k.base, k.baseTerm,
                     k.baseDigest, k.saved, k.baseVoters, std::move(entries)});
    std::string out(kMagic);
    put(out, sumOf(body, 1), kSum);
    return out + body;
}

Write Journal::changes(const RaftConsensus& l, std::size_t mostLog) {
    const bool moved = l.base() != base_ || l.digestAt(l.base()) != baseDigest_;
    Write w;
    if (!any_ || moved || l.number() != groupNumber_ || logged_ > mostLog) {
        w.whole = true;
        do generation_ = XXH3_64bits(&generation_, sizeof generation_);
        while (generation_ == 0);
        number_ = 0, logged_ = 0;
        w.bytes = whole(l);
        digests_.clear();
    } else {
        // Digests run on from entry to entry: where one is equal, all before it are.
        std::size_t same = std::min<std::size_t>(digests_.size(), l.last() - base_);
        while (same > 0 && digests_[same - 1] != l.digestAt(base_ + same)) --same;
        const Index gone = same < digests_.size() ? base_ + same + 1 : 0;
        SavedEntries fresh;
        for (Index i = base_ + same + 1; i <= l.last(); ++i) fresh.push_back(saved(l.entry(i)));
        if (gone == 0 && fresh.empty() && l.term() == term_ && l.promised() == promised_ && l.vote() == vote_)
            return w;
        const std::string body = packed(Record{l.term(), l.promised(), l.vote(), gone, std::move(fresh)});
        std::string head;
        put(head, body.size(), 4);
        put(head, number_, 4);
        put(head, headSum(head, generation_), 4);
        w.bytes = std::move(head) + body;
        put(w.bytes, sumOf(body, generation_ + number_), kSum);
        ++number_;
        logged_ += w.bytes.size();
        digests_.resize(same);
    }
    w.generation = generation_;
    any_ = true;
    groupNumber_ = l.number(), term_ = l.term(), promised_ = l.promised(), vote_ = l.vote();
    base_ = l.base(), baseDigest_ = l.digestAt(l.base());
    for (Index i = base_ + digests_.size() + 1; i <= l.last(); ++i) digests_.push_back(l.digestAt(i));
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

Read readKept(const std::string& group, const std::string& self, std::string_view whole,
              std::string_view log) {
    Read r;
    if (whole.empty() && log.empty()) return r;
    r.how = Reading::damaged;
    auto w = readWhole(whole);
    if (!w) {
        // Another version says so in its first line; the rest of it is not ours to judge.
        if (whole.starts_with("beechpoint ledger ") && !whole.starts_with(kMagic)) r.how = Reading::foreign;
        return r;
    }
    if (std::get<0>(*w) != group || std::get<1>(*w) != self) return r.how = Reading::foreign, r;
    PersistentState k;
    r.generation = std::get<2>(*w);
    k.number = std::get<3>(*w), k.term = std::get<4>(*w), k.promised = std::get<5>(*w),
    k.vote = std::get<6>(*w);
    k.base = std::get<7>(*w), k.baseTerm = std::get<8>(*w), k.baseDigest = std::get<9>(*w);
    k.saved = std::move(std::get<10>(*w)), k.baseVoters = std::move(std::get<11>(*w));
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
        k.term = term, k.promised = promised, k.vote = vote;
        if (gone != 0) {
            if (gone <= k.base || gone > k.base + k.entries.size()) return r;
            k.entries.resize(gone - k.base - 1);
        }
        if (!add(k.entries, fresh)) return r;
        log.remove_prefix(kHead + length + kSum);
    }
    r.how = cutShort ? Reading::cutShort : Reading::sound;
    r.kept = std::move(k);
    return r;
}

}  // namespace beechpoint::raft
