// Durable layout state with a single writing controller. Every report and request that changes state is
// appended as one row to a log and committed before any resulting action is returned. The state machine is
// deterministic, so a controller that crashed at any point is recovered by replaying the log. Uses SQLite in
// WAL mode, one transaction per step.
//
// Only the holder of the duty `layout` may write (duties/, docs/group.md). Each grant of the duty has a
// monotonically increasing fencing token. The store records the token when it is opened, and every
// transaction checks it: a controller that was paused and resumes after another took over is rejected at its
// next step. No clock is involved.
//
// The store records the highest token n that it was opened with, and by which controller (none in a new
// file):
//
// | event                                          | outcome                                |
// | opened with a higher token, or a new file      | the token and controller are recorded  |
// | opened with n by the recorded controller       | continues, as after a restart          |
// | opened with n by another controller            | LeaseLost                              |
// | opened with a lower token                      | LeaseLost                              |
// | step by a store that was opened with n         | committed                              |
// | step by a store opened with another token      | LeaseLost, and nothing has changed     |
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <variant>

#include "layout/changes.hpp"

namespace beechpoint::layout {

// The file cannot be used; the message gives the path and the cause.
struct StoreError : std::runtime_error {
    using std::runtime_error::runtime_error;
};
// Another controller owns the store; the state of this one is obsolete.
struct LeaseLost : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// ---- inputs of the state machine, one log row each

struct BeginStep {
    ChangeSpec spec;
};
struct AbortStep {
    ChangeId change = 0;
};
struct CopyCompletedStep {
    ChangeId change = 0;
};
struct CatchUpCompletedStep {
    ChangeId change = 0;
};
struct EpochConfirmedStep {
    std::string host;
    Epoch epoch = 0;
};
struct HostDiedStep {
    std::string host;
};
struct HostReturnedStep {
    std::string host;
};
struct EpochReleasedStep {
    Epoch epoch = 0;
};
struct AdvanceTimeStep {};
using LayoutStep =
    std::variant<BeginStep, AbortStep, CopyCompletedStep, CatchUpCompletedStep, EpochConfirmedStep,
                 HostDiedStep, HostReturnedStep, EpochReleasedStep, AdvanceTimeStep>;

struct StoreOptions {
    ChangeLimits limits;
    // From this size on, no change begins until those in progress have ended and the log is compacted.
    std::size_t maxLogRows = 10'000;
    // Called at each point where a crash must be recoverable; tests kill the process there.
    std::function<void(const char* point)> crashPoint = [](const char*) {};
};

// The durable ChangeManager of one controller. Not thread-safe.
class LayoutStore {
public:
    // Opens or creates the file; `initialLayout` is the layout of a new file. `fencingToken` is the token of
    // the duty grant. `now` is wall time in milliseconds and only drives the timeouts of changes; safety does
    // not depend on it. Time is monotonic within a store: an earlier time counts as the last one seen. Throws
    // StoreError, or LeaseLost if the store has recorded a higher token, or another controller with this
    // token.
    LayoutStore(const std::string& file, const std::string& controller, std::uint64_t fencingToken,
                Millis now, const LayoutPtr& initialLayout, StoreOptions options = {});
    ~LayoutStore();
    LayoutStore(const LayoutStore&) = delete;
    LayoutStore& operator=(const LayoutStore&) = delete;

    // Commits one step and returns the resulting actions. A step that changes nothing is not logged. `reason`
    // is set if a change is rejected, `id` if one begins. Throws LeaseLost and StoreError; nothing has
    // changed then.
    LayoutActions step(Millis now, const LayoutStep& step, std::string* reason = nullptr,
                       ChangeId* id = nullptr);
    // Returns the actions to take after a start: publish the newest epoch and restart the copies in progress.
    // They are idempotent: hosts and gatherers may already have received them.
    LayoutActions resume() const;

    const ChangeManager& changes() const { return changes_; }
    std::uint64_t fencingToken() const { return fencingToken_; }
    std::size_t logRows() const { return logRows_; }

private:
    struct Base;
    class Database;
    void claimOwnership(const std::string& controller);
    void verifyFencingToken();
    void load(const LayoutPtr& initialLayout);
    void compactLog();
    Millis advanceClock(Millis now);

    StoreOptions options_;
    std::unique_ptr<Database> database_;
    ChangeManager changes_;
    std::uint64_t fencingToken_;
    Millis lastTime_ = 0;
    std::size_t logRows_ = 0;
};

// JSON text of a layout, as stored in the file and sent on the wire.
std::string serializeLayout(const Layout& layout);
LayoutPtr parseLayout(const std::string& text);  // throws InvalidLayout

}  // namespace beechpoint::layout
