// Layout of slices: maps each range of key hashes to the hosts that hold it. A Layout is one numbered epoch
// and is immutable; every change creates a new epoch. A query is planned against one epoch and keeps it alive
// through a shared_ptr until it completes. This module does no I/O and reads no clock.
//
// It does not choose among the holders of a slice (see coordinator::Coordinator) and does not transfer data.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::layout {

using Epoch = std::uint64_t;    // starts at 1; 0: none
using SliceId = std::uint32_t;  // never reused within a store
using KeyHash = std::uint64_t;

// XXH3, 64 bits, seed 0x626565636870. All parties must use the same function; it is specified in
// docs/layout.md.
KeyHash hashKey(std::string_view key);

// State of one host's copy of a slice.
enum class HolderState {
    serving,      // complete; selected by new plans
    copying,      // receives the initial copy; incomplete
    catchingUp,   // has the initial copy and receives later writes; incomplete
    handingOver,  // complete; selected by new plans, as is the host that it replaces
    retired       // complete; not selected by new plans, but answers plans of older epochs
};
const char* nameOf(HolderState state);

// A host's copy of a slice.
struct Holder {
    std::string host;
    HolderState state = HolderState::serving;
    Epoch completeSince = 1;  // first epoch of the current uninterrupted complete period
    // Whether the copy contains all data of the slice.
    bool isComplete() const { return state != HolderState::copying && state != HolderState::catchingUp; }
    // Whether new plans may send queries to this holder.
    bool isSelectable() const { return state == HolderState::serving || state == HolderState::handingOver; }
    bool operator==(const Holder&) const = default;
};

// A contiguous range of key hashes and its holders.
struct Slice {
    SliceId id = 0;
    KeyHash first = 0, last = 0;  // inclusive bounds
    std::vector<Holder> holders;
    const Holder* find(std::string_view host) const;  // nullptr if the host has no copy
    bool containsHash(KeyHash hash) const { return hash >= first && hash <= last; }
    // Width of the range as a fraction of the hash space.
    double hashFraction() const;
    bool operator==(const Slice&) const = default;
};

// Thrown for an invalid layout: a gap, an overlap, a slice without a complete or selectable holder, or a
// duplicate host or id.
struct InvalidLayout : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Layout;
using LayoutPtr = std::shared_ptr<const Layout>;

// An immutable partition of the hash space into slices. Safe to share between threads.
class Layout {
public:
    // Throws InvalidLayout, whose message identifies the slice and the violated rule. Slices may be in any
    // order.
    Layout(Epoch epoch, std::vector<Slice> slices);
    static LayoutPtr make(Epoch epoch, std::vector<Slice> slices) {
        return std::make_shared<const Layout>(epoch, std::move(slices));
    }
    // Returns epoch 1 of the platform's ring layout: `shards` equal ranges, where shard s is held by the
    // hosts of cells (s + j) mod cells for j in [0, span). The slice id is the shard number.
    static LayoutPtr ring(int shards, int cells, int span,
                          const std::vector<std::pair<std::string, int>>& hostsWithCells);

    Epoch epoch() const { return epoch_; }
    const std::vector<Slice>& slices() const { return slices_; }  // sorted by first hash
    const Slice& sliceOf(KeyHash hash) const;
    const Slice* find(SliceId id) const;  // nullptr if not in this epoch
    SliceId highestId() const { return highestId_; }

private:
    Epoch epoch_;
    std::vector<Slice> slices_;
    std::vector<std::uint32_t> lookupTable_;  // upper bits of a hash -> index of the first candidate slice
    std::vector<std::pair<SliceId, std::uint32_t>> byId_;
    SliceId highestId_ = 0;
};

// ---- plans

// The part of a query that one slice answers.
struct PlannedPart {
    SliceId slice = 0;
    double share = 0;  // fraction of the whole answer; the shares of a plan sum to 1 within 1e-9
};

// The slices that a query reads, in one epoch.
struct QueryPlan {
    LayoutPtr layout;
    std::vector<PlannedPart> parts;  // in hash order
    // Whether an answer may be merged into this plan's result. A host reports the epoch at which it answered
    // and the epoch since which it has held the slice complete without interruption (Holder::completeSince).
    // Slice ids are never reused, so an id identifies one range. The answer is valid if the host held the
    // slice throughout the period between the plan's epoch and the answer's, whichever is newer. Any other
    // answer is stale, and the whole query must be planned again.
    bool acceptsAnswer(SliceId slice, std::string_view host, Epoch answeredAt, Epoch heldSince) const;
};

// Plans the slices that contain these keys, each slice once. Shares are proportional to the number of keys.
QueryPlan planKeys(LayoutPtr layout, const std::vector<std::string_view>& keys);
// Plans the slices that overlap an inclusive range of hashes. Shares are proportional to the overlap.
QueryPlan planRange(LayoutPtr layout, KeyHash first, KeyHash last);
// Plans every slice.
QueryPlan planAll(LayoutPtr layout);
// Plans the slices and shares given by the front end. Throws InvalidLayout if a slice is not in this epoch.
QueryPlan planFromParts(LayoutPtr layout, const std::vector<PlannedPart>& parts);

}  // namespace beechpoint::layout
