// The layout kept durably, and the one controller that may change it. Every report and request that changes
// something is one row of a log, committed before anything is done about it; the state machine is
// deterministic, so a controller that died anywhere is brought back by reading the log again. SQLite in WAL
// mode, one transaction a step.
//
// Only the holder of the duty `layout` may write (duties/, docs/group.md). Each grant of it has a fencing number that
// only rises; the store takes it at its opening, and every transaction checks it: a controller that was paused, and
// comes back after another took over, is turned down at its next step, whatever it believes. No clock is asked.
//
// The store remembers the newest number n that it was opened under, and by whom (nothing in a new file):
//
// | event                                           | outcome                            |
// | opened under a higher number, or a new file     | that number and controller hold    |
// | opened under n by the controller that has it    | goes on, as after a restart        |
// | opened under n by another controller            | LeaseLost                          |
// | opened under a lower number                     | LeaseLost                          |
// | a step by a store that was opened under n       | done                               |
// | a step by a store opened under another number   | LeaseLost, and nothing has changed |
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <variant>

#include "layout/changes.hpp"

namespace beechpoint::layout {

// The file can't be used; says which and why.
struct StoreFailed : std::runtime_error {
    using std::runtime_error::runtime_error;
};
// Somebody else may write: what this controller believes is void.
struct LeaseLost : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---- what may change the layout, one row each

struct BeginStep {
    ChangeSpec spec;
};
struct AbortStep {
    ChangeId change = 0;
};
struct CopiedStep {
    ChangeId change = 0;
};
struct CaughtUpStep {
    ChangeId change = 0;
};
struct StandsStep {
    std::string host;
    Epoch epoch = 0;
};
struct DiedStep {
    std::string host;
};
struct ReturnedStep {
    std::string host;
};
struct ReleasedStep {
    Epoch epoch = 0;
};
struct TimeStep {};
using LayoutStep = std::variant<BeginStep, AbortStep, CopiedStep, CaughtUpStep, StandsStep, DiedStep,
                                ReturnedStep, ReleasedStep, TimeStep>;

struct StoreOptions {
    ChangeLimits limits;
    // Above this no change begins until those under way have ended and the log is cut.
    std::size_t mostRows = 10'000;
    // Called at every point where a crash could matter; tests end the process there.
    std::function<void(const char* point)> at = [](const char*) {};
};

class LayoutStore {
public:
    // Opens or makes the file; `first` is the layout of a new one. `fence` is the duty's number that this controller
    // acts under. `now` is wall time in milliseconds, for the changes' own time limits alone: nothing that must be safe
    // rests on it. It never goes back within a store: an earlier one counts as the last one seen. Throws StoreFailed, or
    // LeaseLost where the store has seen a higher number, or another controller under this one.
    LayoutStore(const std::string& file, const std::string& controller, std::uint64_t fence, Millis now,
                const LayoutPtr& first, StoreOptions options = {});
    ~LayoutStore();
    LayoutStore(const LayoutStore&) = delete;
    LayoutStore& operator=(const LayoutStore&) = delete;

    // Takes one step: committed first, then returned what is to be done. A step that changes nothing is not
    // kept. `why` says why a change did not begin. Throws LeaseLost and StoreFailed; then nothing has
    // changed.
    LayoutActions step(Millis now, const LayoutStep& step, std::string* why = nullptr,
                       ChangeId* id = nullptr);
    // What a controller has to do after its start: publish the newest epoch and go on with copies under way.
    // Hosts and gatherers may have had all of it before; none of it does harm twice.
    LayoutActions resume() const;

    const Changes& changes() const { return changes_; }
    std::uint64_t fence() const { return fence_; }
    std::size_t rows() const { return rows_; }

private:
    struct Base;
    class Db;
    void takeOver(const std::string& controller);
    void checkFence();
    void load(const LayoutPtr& first);
    void compact();
    Millis forward(Millis now);

    StoreOptions options_;
    std::unique_ptr<Db> db_;
    Changes changes_;
    std::uint64_t fence_;
    Millis last_ = 0;
    std::size_t rows_ = 0;
};

// As they stand in the file and on the wire.
std::string layoutText(const Layout& layout);
LayoutPtr readLayout(const std::string& text);  // throws BadLayout

}  // namespace beechpoint::layout
