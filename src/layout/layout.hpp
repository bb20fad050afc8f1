// The layout of slices: which hosts may answer for which range of the keys' hash. A layout is one numbered
// epoch and never changes; a change of the layout is a new epoch. A query is planned against one epoch and
// keeps it, by shared_ptr, to its end. Free of I/O and clock.
//
// What it is not: it does not choose among a slice's hosts (that is coordinator::Coordinator's), and it moves no
// data.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::layout {

using Epoch = std::uint64_t;    // from 1; 0: none
using SliceId = std::uint32_t;  // never used twice within a store's life
using KeyHash = std::uint64_t;

// XXH3, 64 bits, seed 0x626565636870: stated in docs/layout.md, since every party must agree on it.
KeyHash hashKey(std::string_view key);

enum class HolderState {
    serving,      // complete; asked
    copying,      // gets the data; not complete
    catchingUp,   // has a copy as of some time, and gets what was written since; not complete
    handingOver,  // complete; asked beside the one that it takes over from
    retired       // complete still; not asked by new plans, answers those of older epochs
};
const char* nameOf(HolderState state);

struct Holder {
    std::string host;
    HolderState state = HolderState::serving;
    Epoch since = 1;  // the epoch from which on it has been complete without a break
    bool complete() const { return state != HolderState::copying && state != HolderState::catchingUp; }
    bool asked() const { return state == HolderState::serving || state == HolderState::handingOver; }
    bool operator==(const Holder&) const = default;
};

struct Slice {
    SliceId id = 0;
    KeyHash first = 0, last = 0;  // both within
    std::vector<Holder> holders;
    const Holder* find(std::string_view host) const;
    bool covers(KeyHash hash) const { return hash >= first && hash <= last; }
    // Its part of all hashes.
    double width() const;
    bool operator==(const Slice&) const = default;
};

// A layout that must not be: a gap, an overlap, a slice that no host holds complete, a host or id twice.
struct BadLayout : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Layout;
using LayoutPtr = std::shared_ptr<const Layout>;

class Layout {
public:
    // Throws BadLayout, naming slice and rule. Slices may come in any order.
    Layout(Epoch epoch, std::vector<Slice> slices);
    static LayoutPtr make(Epoch epoch, std::vector<Slice> slices) {
        return std::make_shared<const Layout>(epoch, std::move(slices));
    }
    // One epoch, as the platform has it: `shards` equal ranges, shard s held by the hosts of cells (s + j)
    // mod cells, j from 0 to span - 1. Slice ids are the shards' numbers.
    static LayoutPtr ring(int shards, int cells, int span,
                          const std::vector<std::pair<std::string, int>>& hostsWithCells);

    Epoch epoch() const { return epoch_; }
    const std::vector<Slice>& slices() const { return slices_; }  // by their first hash
    const Slice& sliceOf(KeyHash hash) const;
    const Slice* find(SliceId id) const;  // nullptr: not in this epoch
    SliceId highestId() const { return highest_; }

private:
    Epoch epoch_;
    std::vector<Slice> slices_;
    std::vector<std::uint32_t> coarse_;  // by a hash's upper bits: the slice in which they begin
    std::vector<std::pair<SliceId, std::uint32_t>> byId_;
    SliceId highest_ = 0;
};

// ---- plans

struct PlannedPart {
    SliceId slice = 0;
    double share = 0;  // of the whole answer; a plan's sum to 1 within 1e-9
};

struct QueryPlan {
    LayoutPtr layout;
    std::vector<PlannedPart> parts;  // in the order of the hashes
    // Whether an answer may go into this plan's. A host says at which epoch it answered, and since which
    // epoch it has held the slice complete without a break (Holder::since). Ids are never used twice, so an
    // id stands for one range; what is left to ask is whether the host held it all the time from the plan to
    // the answer, whichever of the two knew the newer layout. All others are stale: the query is planned
    // anew, whole.
    bool takes(SliceId slice, std::string_view host, Epoch answeredAt, Epoch heldSince) const;
};

// The slices that hold these keys, each once; shares by how many of the keys each holds.
QueryPlan planKeys(LayoutPtr layout, const std::vector<std::string_view>& keys);
// The slices of a range of hashes, shares by how much of it each holds.
QueryPlan planRange(LayoutPtr layout, KeyHash first, KeyHash last);
// Every slice.
QueryPlan planAll(LayoutPtr layout);
// Slices as their front named them. Throws BadLayout where one is not of this epoch.
QueryPlan planNamed(LayoutPtr layout, const std::vector<PlannedPart>& parts);

}  // namespace beechpoint::layout
