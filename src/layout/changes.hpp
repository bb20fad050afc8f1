// State machine for layout changes while queries run: move, split and merge. Each change is a sequence of
// explicit steps, and each step publishes one new epoch. It does no I/O: it takes host reports and the
// current time, and returns the epochs to publish and the actions for hosts. It owns the newest layout. Time
// must not go backwards.
//
// A move transfers a slice from host A to host B. A split or merge requires the holders of the slices to
// confirm the epoch with the new ones:
//
// | change       | state      | A is    | B is         | the state ends when                           |
// | move         | copying    | serving | copying      | B has copied all data                         |
// | move         | catchingUp | serving | catching up  | B has the writes made during the copy         |
// | move         | dual       | serving | handing over | B confirms the epoch that makes it selectable |
// | split, merge | preparing  | -       | -            | all selectable hosts confirm the epoch        |
// | any          | releasing  | retired | serving      | no query uses an older epoch (see below)      |
// | any          | done       | removed | serving      | -                                             |
// | any          | undone     | serving | removed      | -                                             |
// (The columns for A and B apply to moves.)
//
// Transitions (- : no effect; ignored: ignoredReports() is incremented and nothing else changes):
//
// | event                     | copying        | catchingUp     | dual      | preparing   | releasing       |
// | copyCompleted             | catchingUp     | ignored        | ignored   | ignored     | ignored         |
// | catchUpCompleted          | ignored        | dual           | ignored   | ignored     | ignored         |
// | B, or the last awaited    |                |                |           |             |                 |
// |   host, confirms          | -              | -              | releasing | releasing   | -               |
// | epochReleased, same epoch | -              | -              | -         | -           | done (1)        |
// | deadline passes           | undone         | undone         | withdrawn | undone      | done (1) or (2) |
// | abort                     | undone         | undone         | withdrawn | undone      | rejected        |
// | B dies                    | undone         | undone         | undone    | -           | undone or - (3) |
// | the copy source dies      | copy again (4) | copy again (4) | -         | -           | -               |
// | a host of a split or      |                |                |           |             |                 |
// |   merge dies              |                |                |           | not awaited | -               |
// | the retired host confirms | -              | -              | -         | -           | extended (6)    |
// | a dead host returns       | copy again (5) | -              | -         | -           | -               |
//
// withdrawn: enters `releasing` with B retired instead of A; ends undone.
// (1) Undone if the change was withdrawn.
// (2) While the retired host is alive and has not confirmed, the state is extended.
// (3) Undone with A serving again; no effect if the change was withdrawn, since B is removed anyway.
// (4) From another complete host; undone if none is alive.
// (5) Only if there was no copy source.
// (6) The state ends maxQueryDuration after the confirmation, unless epochReleased ends it earlier.
//
// A selectable host is never removed at once: a query planned on an older epoch, or a gatherer that has not
// received the new one, may still query it, and a host outside the layout receives no writes. The departing
// host (A, or B if a move is undone in `dual`) is therefore retired first: it is complete, receives writes
// and is queried only by older plans. It is removed when no query uses an older epoch, or maxQueryDuration
// after it confirmed its retirement; from then on the host itself rejects queries for the slice. A host that
// neither confirms nor dies stays retired, which is harmless.
//
// An abort undoes a change in any state before `releasing`. No published epoch has a slice without a complete
// holder or without a selectable one: the Layout constructor rejects it, and a step that would need it is not
// taken.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "layout/layout.hpp"

namespace beechpoint::layout {

using ChangeId = std::uint64_t;  // starts at 1; 0: none

struct Move {
    SliceId slice = 0;
    std::string from, to;
};
struct Split {
    SliceId slice = 0;
    KeyHash at = 0;  // the first hash of the upper half
};
struct Merge {
    SliceId lower = 0, upper = 0;  // adjacent slices with the same hosts
};
using ChangeSpec = std::variant<Move, Split, Merge>;

// `releasing` may end as done or undone; ChangeView::reason tells which. Undone: the change was rolled back.
enum class ChangeState { copying, catchingUp, dual, preparing, releasing, done, undone };
const char* nameOf(ChangeState state);

// ---- actions for the caller

struct Publish {  // send to every gatherer and host; it is now the newest epoch
    LayoutPtr layout;
};
struct StartCopy {  // `to` copies the slice from `from`, then follows its writes until StopCopy
    ChangeId change = 0;
    SliceId slice = 0;
    std::string from, to;
};
struct StopCopy {
    ChangeId change = 0;
    std::string to;
};
struct DropData {  // the host may delete the range: no plan, new or old, reads it there
    SliceId slice = 0;
    KeyHash first = 0, last = 0;
    std::string host;
};
struct ChangeEnded {
    ChangeId change = 0;
    bool done = false;  // false: undone
    std::string reason;
};
using LayoutAction = std::variant<Publish, StartCopy, StopCopy, DropData, ChangeEnded>;
using LayoutActions = std::vector<LayoutAction>;

struct ChangeLimits {
    std::size_t maxConcurrent = 4;  // changes in progress
    Millis copyTimeout = 600'000;
    Millis catchUpTimeout = 60'000;
    Millis confirmTimeout = 10'000;      // for a host to confirm an epoch
    Millis maxQueryDuration = 10'000;    // upper bound on the time that a query uses an older epoch
    std::size_t maxEndedRetained = 256;  // ended changes listed by changes(); the oldest are dropped first
};

// Public state of one change.
struct ChangeView {
    ChangeId id = 0;
    ChangeSpec spec;
    ChangeState state = ChangeState::copying;
    Millis enteredAt = 0;  // when it entered this state
    Millis deadline = 0;   // when the state times out
    std::string reason;    // why it was undone; empty otherwise
};

// Runs layout changes. Not thread-safe. Every operation appends the resulting actions to `out`.
class ChangeManager {
public:
    explicit ChangeManager(LayoutPtr first, ChangeLimits limits = {});

    // Begins a change. If it is rejected, sets `reason` and returns 0.
    ChangeId begin(Millis now, const ChangeSpec& spec, LayoutActions& out, std::string& reason);
    // Returns false if no change with this id can still be undone.
    bool abort(Millis now, ChangeId id, LayoutActions& out);

    // ---- reports. One that does not match the current state of a change is counted and ignored.
    // The target host has copied the slice.
    void copyCompleted(Millis now, ChangeId id, LayoutActions& out);
    // The target host has applied the writes made during the copy.
    void catchUpCompleted(Millis now, ChangeId id, LayoutActions& out);
    // The host has received this epoch and answers according to it.
    void epochConfirmed(Millis now, const std::string& host, Epoch epoch, LayoutActions& out);
    void hostDied(Millis now, const std::string& host, LayoutActions& out);
    // The host is alive again and is up to date for all slices that the layout assigns to it.
    void hostReturned(Millis now, const std::string& host, LayoutActions& out);
    // No gatherer has a running query planned on an epoch before this one.
    void epochReleased(Millis now, Epoch epoch, LayoutActions& out);

    Millis nextDeadline() const;  // 1e300: none
    // Handles the timeouts that are due.
    void advance(Millis now, LayoutActions& out);

    LayoutPtr layout() const { return layout_; }
    std::vector<ChangeView> changes() const;  // those in progress, then the ended ones, most recent first
    std::size_t activeCount() const;
    std::uint64_t ignoredReports() const { return ignoredReports_; }

    // ---- persistence. Restores the ids and dead hosts saved while no change was in progress.
    void restore(ChangeId lastChange, SliceId lastSlice, std::set<std::string> dead);
    ChangeId lastChange() const { return lastChange_; }
    SliceId lastSlice() const { return lastSliceId_; }
    const std::set<std::string>& deadHosts() const { return deadHosts_; }
    std::string sourceOf(ChangeId id) const;  // copy source of a move; empty: none
    // Incremented with each update of internal state that later steps may depend on.
    std::uint64_t revision() const { return revision_; }
    bool isAlive(const std::string& host) const { return !deadHosts_.contains(host); }

private:
    struct Change {
        ChangeView view;
        std::string source;                  // copy source of a move
        Epoch releaseEpoch = 0;              // `releasing` ends once no query uses an older epoch
        std::string departingHost;           // the host that is retired and then removed
        bool undoing = false;                // the departing host is the target
        std::vector<Slice> replacedSlices;   // split or merge: the original slices
        std::vector<SliceId> newSlices;      // split or merge: ids of the new slices
        std::set<std::string> awaitedHosts;  // hosts that have not yet confirmed awaitedEpoch
        Epoch awaitedEpoch = 0;
    };
    using ChangeIterator = std::map<ChangeId, Change>::iterator;

    std::string rejectionReason(const ChangeSpec& spec) const;
    bool isChanging(SliceId slice) const;
    void enterState(Change& change, ChangeState state, Millis now, Millis timeout);
    void publish(std::vector<Slice> slices, LayoutActions& out);
    std::vector<Slice> slicesWithHolder(SliceId slice, const std::string& host,
                                        std::optional<HolderState> state) const;
    void beginMove(Millis now, Change& change, LayoutActions& out);
    void completeHandover(Millis now, Change& change, LayoutActions& out);
    void replaceSlices(Millis now, Change& change, LayoutActions& out);
    void checkConfirmations(Millis now, Change& change, LayoutActions& out);
    void finish(ChangeIterator change, LayoutActions& out);
    void undo(Millis now, ChangeIterator change, const std::string& reason, LayoutActions& out);
    void startRelease(Millis now, Change& change, const std::string& departingHost);
    void retireTarget(Millis now, Change& change, LayoutActions& out);
    void dropDataIfUnheld(const DropData& data, LayoutActions& out) const;
    void endChange(ChangeIterator change, bool done, const std::string& reason, LayoutActions& out);
    void handleHostDeath(Millis now, ChangeIterator change, const std::string& host, LayoutActions& out);
    std::string chooseCopySource(const Change& change) const;
    ChangeIterator findInState(ChangeId id, ChangeState state);

    ChangeLimits limits_;
    LayoutPtr layout_;
    std::map<ChangeId, Change> changes_;  // in progress
    std::vector<ChangeView> ended_;
    std::set<std::string> deadHosts_;
    std::map<std::string, Epoch> confirmedEpochs_;  // by host: newest epoch that it has confirmed
    ChangeId lastChange_ = 0;
    SliceId lastSliceId_ = 0;
    std::uint64_t ignoredReports_ = 0;
    std::uint64_t revision_ = 0;
};

}  // namespace beechpoint::layout
