// The epochs that a gatherer has been told of, and which of them live queries still hold. Free of I/O.
//
// | told of              | epoch above the newest      | the newest or below it | gap (N+2 without N+1) |
// |                      | becomes the newest          | counted, dropped       | taken: an epoch is    |
// |                      |                             |                        | whole, not a change   |
// | a query ends         | its hold goes; an epoch that nobody holds any more is let go of              |
// | a hold's time passes | as if its query had ended: whatever became of it, no answer is owed          |
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "core/clock.hpp"
#include "layout/layout.hpp"

namespace beechpoint::layout {

class EpochBook {
public:
    using Hold = std::uint64_t;  // 0: none

    struct Counts {
        std::uint64_t taken = 0, duplicate = 0, old = 0, skipped = 0, expired = 0, letGo = 0;
    };
    // At most so many epochs are kept beside the newest; a query on an older one is stale.
    explicit EpochBook(std::size_t most = 64) : most_(most) {}

    // False: not above the newest.
    bool tell(LayoutPtr layout);
    LayoutPtr newest() const { return newest_; }  // nullptr before the first
    LayoutPtr find(Epoch epoch) const;            // nullptr: never told, or let go of

    // A query planned on the newest epoch now; it is over by `deadline` at the latest.
    Hold hold(Millis deadline);
    void release(Hold hold);
    void advance(Millis now);
    Millis next() const;  // when the next hold's time is up; 1e300: none

    // The oldest epoch that a query may still be answered on: all before it are done with.
    Epoch oldestHeld() const;
    std::size_t kept() const { return kept_.size(); }
    std::size_t holds() const { return holds_.size(); }
    const Counts& counts() const { return counts_; }

private:
    struct Kept {
        LayoutPtr layout;
        std::size_t holds = 0;
    };
    void drop(std::map<Hold, std::pair<Epoch, Millis>>::iterator hold);
    void letGo();

    std::size_t most_;
    LayoutPtr newest_;
    std::map<Epoch, Kept> kept_;  // the newest, and those held
    std::map<Hold, std::pair<Epoch, Millis>> holds_;
    std::set<std::pair<Millis, Hold>> deadlines_;
    Hold last_ = 0;
    Counts counts_;
};

}  // namespace beechpoint::layout
