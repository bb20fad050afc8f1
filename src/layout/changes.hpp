// Changes of the layout while queries run: move, split and merge, each as explicit steps, each step one new
// epoch. A state machine free of I/O: it is told what hosts report and what time it is, and returns the
// epochs to publish and what hosts are to do. It owns the newest layout. Times must not go back.
//
// A move takes a slice from host A to host B; a split or merge has the hosts that hold the slices confirm the new ones:
//
// | change       | state      | A is    | B is         | the state ends when                        |
// | move         | copying    | serving | copying      | B has copied all                           |
// | move         | catchingUp | serving | catching up  | B has what was written meanwhile           |
// | move         | dual       | serving | handing over | B confirms the epoch that asks it          |
// | split, merge | preparing  | -       | -            | all hosts that are asked confirm the epoch |
// | each         | releasing  | retired | serving      | no query holds an older epoch (see below)  |
// | each         | done       | gone    | serving      | -                                          |
// | each         | undone     | serving | gone         | -                                          |
// (A and B: of a move.)
//
// Where each event leads (- : no effect; counted: ignored() goes up and nothing changes):
//
// | event                     | copying          | catchingUp       | dual         | preparing   | releasing        |
// | copied                    | catchingUp       | counted          | counted      | counted     | counted          |
// | caughtUp                  | counted          | dual             | counted      | counted     | counted          |
// | B, or the last host that  |                  |                  |              |             |                  |
// |   is awaited, confirms    | -                | -                | releasing    | releasing   | -                |
// | released, of that epoch   | -                | -                | -            | -           | done (1)         |
// | the time is up            | undone           | undone           | withdrawn    | undone      | done (1), or (2) |
// | abort                     | undone           | undone           | withdrawn    | undone      | refused          |
// | B dies                    | undone           | undone           | undone       | -           | undone, or - (3) |
// | the host copied from dies | copying anew (4) | copying anew (4) | -            | -           | -                |
// | a host of a split or      |                  |                  |              |             |                  |
// |   merge dies              |                  |                  |              | not awaited | -                |
// | the retired host confirms | -                | -                | -            | -           | longestQuery (6) |
// | a dead host returns       | copying anew (5) | -                | -            | -           | -                |
//
// withdrawn: `releasing` with B retired in A's place, which ends undone.
// (1) undone where it was withdrawn. (2) while the retired host lives and has not confirmed, the state is prolonged.
// (3) undone with A serving again; nothing where it was withdrawn, since B leaves anyway. (4) from another complete
// host; undone where none lives. (5) only where there was no host to copy from.
// (6) the state ends so long after that, if `released` does not end it before.
//
// What was asked is never taken away at once: a query planned on an older epoch, or a gatherer that has not
// heard yet, may still ask it, and a host that is out of the layout gets no writes. So the host that leaves
// (A; B where a move is undone out of `dual`) is retired first: complete, written to, asked by older plans
// only. It goes once no query holds an older epoch, or longestQuery after it confirmed that it is retired;
// from then on it answers nothing for the slice by itself. One that neither confirms nor dies stays retired:
// it does no harm.
//
// An abort undoes a change in any state but the last two. No epoch is ever published in which a slice has no
// complete holder, or none that is asked: Layout refuses to be made so, and a step that would need it does
// not happen.
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

using ChangeId = std::uint64_t;  // from 1; 0: none

struct Move {
    SliceId slice = 0;
    std::string from, to;
};
struct Split {
    SliceId slice = 0;
    KeyHash at = 0;  // the first hash of the upper half
};
struct Merge {
    SliceId lower = 0, upper = 0;  // neighbours that the same hosts hold
};
using ChangeSpec = std::variant<Move, Split, Merge>;

// `releasing` may lead to either end: see ChangeView::why.
enum class ChangeState { copying, catchingUp, dual, preparing, releasing, done, undone };
const char* nameOf(ChangeState state);

// ---- what the driver is to do

struct Publish {  // to every gatherer and host; it is the newest from here on
    LayoutPtr layout;
};
struct StartCopy {  // `to` fetches the slice from `from`, and then what is written until it is told otherwise
    ChangeId change = 0;
    SliceId slice = 0;
    std::string from, to;
};
struct StopCopy {
    ChangeId change = 0;
    std::string to;
};
struct DropData {  // the host may forget the range: no plan, new or old, will ask it there
    SliceId slice = 0;
    KeyHash first = 0, last = 0;
    std::string host;
};
struct Ended {
    ChangeId change = 0;
    bool done = false;  // else undone
    std::string why;
};
using LayoutAction = std::variant<Publish, StartCopy, StopCopy, DropData, Ended>;
using LayoutActions = std::vector<LayoutAction>;

struct ChangeLimits {
    std::size_t atOnce = 4;  // changes under way
    Millis copyWithin = 600'000;
    Millis catchUpWithin = 60'000;
    Millis confirmWithin = 10'000;  // a host to say that it stands at an epoch
    Millis longestQuery = 10'000;   // after that no query is out on an older epoch, whatever is reported
    std::size_t endedKept = 256;    // ended changes that are still told of; the oldest go first
};

struct ChangeView {
    ChangeId id = 0;
    ChangeSpec spec;
    ChangeState state = ChangeState::copying;
    Millis since = 0;  // when it entered this state
    Millis until = 0;  // when the state ends by itself
    std::string why;   // undone: the reason
};

class Changes {
public:
    explicit Changes(LayoutPtr first, ChangeLimits limits = {});

    // Begins a change, or says why not (`why`), and then returns 0.
    ChangeId begin(Millis now, const ChangeSpec& spec, LayoutActions& out, std::string& why);
    // False: there is none of that id that can still be undone.
    bool abort(Millis now, ChangeId id, LayoutActions& out);

    // ---- what hosts report. A report that fits no change as it stands is counted and dropped.
    void copied(Millis now, ChangeId id, LayoutActions& out);
    void caughtUp(Millis now, ChangeId id, LayoutActions& out);
    // The host has this epoch, and answers by it.
    void standsAt(Millis now, const std::string& host, Epoch epoch, LayoutActions& out);
    void died(Millis now, const std::string& host, LayoutActions& out);
    // It lives again, and has caught up with what the layout says that it holds.
    void returned(Millis now, const std::string& host, LayoutActions& out);
    // No gatherer holds a query planned before this epoch any more.
    void released(Millis now, Epoch epoch, LayoutActions& out);

    Millis next() const;  // 1e300: none
    void advance(Millis now, LayoutActions& out);

    LayoutPtr layout() const { return layout_; }
    std::vector<ChangeView> changes() const;  // those under way, then the last that ended
    std::size_t underWay() const;
    std::uint64_t ignored() const { return ignored_; }

    // ---- for whoever keeps it durably. Ids and what is dead, as they were with no change under way.
    void restore(ChangeId lastChange, SliceId lastSlice, std::set<std::string> dead);
    ChangeId lastChange() const { return last_; }
    SliceId lastSlice() const { return lastSlice_; }
    const std::set<std::string>& dead() const { return dead_; }
    std::string sourceOf(ChangeId id) const;  // of a move's copy; empty: none
    // Goes up with whatever a later step may depend on.
    std::uint64_t revision() const { return revision_; }
    bool alive(const std::string& host) const { return !dead_.contains(host); }

private:
    struct Change {
        ChangeView view;
        std::string source;             // whom a move copies from
        Epoch releasing = 0;            // over once no query is held before this epoch
        std::string leaving;            // the host that is retired meanwhile, and then goes
        bool undoing = false;           // it is the target that leaves
        std::vector<Slice> retired;     // a split or merge: the slices as they were before
        std::vector<SliceId> fresh;     // a split's or merge's new slices
        std::set<std::string> awaited;  // hosts that have still to stand at `awaitedAt`
        Epoch awaitedAt = 0;
    };
    using Changed = std::map<ChangeId, Change>::iterator;

    std::string refusal(const ChangeSpec& spec) const;
    bool busy(SliceId slice) const;
    void enter(Change& change, ChangeState state, Millis now, Millis within);
    void publish(std::vector<Slice> slices, LayoutActions& out);
    std::vector<Slice> withHolder(SliceId slice, const std::string& host,
                                  std::optional<HolderState> state) const;
    void beginMove(Millis now, Change& change, LayoutActions& out);
    void handOver(Millis now, Change& change, LayoutActions& out);
    void replaceSlices(Millis now, Change& change, LayoutActions& out);
    void confirm(Millis now, Change& change, LayoutActions& out);
    void finish(Changed change, LayoutActions& out);
    void undo(Millis now, Changed change, const std::string& why, LayoutActions& out);
    void release(Millis now, Change& change, const std::string& leaving);
    void withdraw(Millis now, Change& change, LayoutActions& out);
    void drop(const DropData& what, LayoutActions& out) const;
    void end(Changed change, bool done, const std::string& why, LayoutActions& out);
    void hostGone(Millis now, Changed change, const std::string& host, LayoutActions& out);
    std::string otherSource(const Change& change) const;
    Changed under(ChangeId id, ChangeState state);

    ChangeLimits limits_;
    LayoutPtr layout_;
    std::map<ChangeId, Change> changes_;  // under way
    std::vector<ChangeView> ended_;
    std::set<std::string> dead_;
    std::map<std::string, Epoch> stands_;  // by host of the layout: what it last said
    ChangeId last_ = 0;
    SliceId lastSlice_ = 0;
    std::uint64_t ignored_ = 0;
    std::uint64_t revision_ = 0;
};

}  // namespace beechpoint::layout
