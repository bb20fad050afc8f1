// Tracks the layout epochs that a gatherer has received and which of them running queries pin. Does no I/O.
//
// | event                                    | effect                                                |
// | epoch received, newer than the newest    | becomes the newest                                    |
// | epoch received, not newer                | counted and discarded                                 |
// | epoch received after a gap (N+2, no N+1) | accepted: an epoch is a whole layout, not a diff      |
// | query completes                          | its pin is removed; unpinned older epochs are evicted |
// | pin expires                              | as if its query had completed: no answer is due       |
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.hpp"
#include "layout/layout.hpp"

namespace beechpoint::layout {

// Retains the newest layout and the pinned older ones. Not thread-safe.
class EpochTracker {
public:
    using Pin = std::uint64_t;  // 0: none

    // Totals of received epochs by outcome, of expired pins and of evicted epochs.
    struct Counts {
        std::uint64_t accepted = 0, duplicate = 0, outdated = 0, skipped = 0, expired = 0, evicted = 0;
    };
    // Retains at most `maxRetained` epochs besides the newest; queries on evicted epochs become stale.
    explicit EpochTracker(std::size_t maxRetained = 64) : maxRetained_(maxRetained) {}

    // Adds a received layout. Returns false if its epoch is not newer than the newest.
    bool update(LayoutPtr layout);
    LayoutPtr newest() const { return newest_; }  // nullptr before the first update
    LayoutPtr find(Epoch epoch) const;            // nullptr if never received or already evicted

    // Pins the newest epoch for a query that ends at `deadline` at the latest. Returns 0 if there is no epoch
    // yet.
    Pin pin(Millis deadline);
    void unpin(Pin pin);
    // Removes the pins whose deadline has passed.
    void advance(Millis now);
    Millis nextDeadline() const;  // earliest deadline of a pin; 1e300: none

    // The oldest epoch that a query may still use; 0 before the first update.
    Epoch oldestRetained() const;
    std::size_t retainedCount() const { return retained_.size(); }
    std::size_t pinCount() const { return pins_.size(); }
    const Counts& counts() const { return counts_; }

private:
    struct RetainedEpoch {
        LayoutPtr layout;
        std::size_t pins = 0;
    };
    void removePin(std::map<Pin, std::pair<Epoch, Millis>>::iterator pin);
    void evictUnpinned();

    std::size_t maxRetained_;
    LayoutPtr newest_;
    std::map<Epoch, RetainedEpoch> retained_;  // the newest and the pinned epochs
    std::map<Pin, std::pair<Epoch, Millis>> pins_;
    std::set<std::pair<Millis, Pin>> deadlines_;
    Pin lastPin_ = 0;
    Counts counts_;
};

}  // namespace beechpoint::layout
