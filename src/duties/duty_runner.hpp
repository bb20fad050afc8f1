/// Executes the duty of one subject at one member: records the intent, calls the platform, records the outcome. A state machine without I/O or
/// clock: each event carries the time, and the next action is returned. Owned by control::DutyService; not thread-safe.
///
///   state     | event                                       | next      | action
///   idle      | step: holder, an open intent is committed   | calling   | CallPlatform with its body
///   idle      | step: holder, work is due                   | proposing | Propose
///   proposing | onProposed: an open intent                  | calling   | CallPlatform with the recorded body
///   proposing | onProposed: a settled intent, or superseded | idle      | -
///   proposing | onProposed: tooLarge                        | idle      | the number is skipped
///   proposing | onProposed: stale, or no result             | idle      | none until the backoff has elapsed
///   calling   | onCalled 200                                | settling  | Settle done
///   calling   | onCalled 409                                | idle      | no further call with this token
///   calling   | onCalled another 4xx                        | settling  | Settle refused
///   calling   | onCalled 429, 5xx, none                     | idle      | none until the backoff has elapsed
///   settling  | onSettled                                   | idle      | if not recorded, the intent is still open and is sent again
///   any       | step: not the holder, or the term changed   | idle      | results that arrive later are ignored
///
/// A member calls only while it is the holder in its newest view and a majority has confirmed that view within the replica's freshness bound.
/// A process that resumes after a freeze is not fresh until a majority has confirmed the view again. A call that passes this check and is
/// delayed afterwards carries an older token, which the platform rejects.
///
/// A new holder waits for `takeoverDelay` before it acts, so that two holders do not alternate within the platform's lease time, regardless of
/// which member acted last.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "core/splitmix.hpp"
#include "duties/intent_log.hpp"

namespace beechpoint::duties {

/// Inputs of a step: the state of the replica at one moment.
struct DutyContext {
    bool fresh = false;            ///< this member is in its newest view, which a majority has confirmed
    bool isHolder = false;         ///< this member is the subject's holder in that view
    Millis holderSince = 0;        ///< start of its current tenure, which may span views
    std::uint64_t epoch = 0;       ///< epoch of the view: the fencing token
    std::string member;            ///< this member's name
    const Table* table = nullptr;  ///< the committed table
};

/// The next call to record and send; requested only while no intent is open.
struct DutyWork {
    std::uint64_t number = 0;
    std::string body;
};

/// Each action has a unique `attempt`, which its completion event returns. Completions of earlier attempts are ignored.
struct ProposeIntent {
    std::uint64_t attempt = 0;
    Proposal proposal;
};
struct CallPlatform {
    std::uint64_t attempt = 0;
    Subject subject;
    std::uint64_t number = 0;
    std::uint64_t token = 0;
    std::string holder;
    std::string body;
    Millis timeout = 0;  ///< the call fails if no response arrives within it
};
struct SettleIntent {
    std::uint64_t attempt = 0;
    Settlement settlement;
};
using DutyAction = std::variant<ProposeIntent, CallPlatform, SettleIntent>;

/// Result of a ProposeIntent. Empty: no response, or it is unknown whether the proposal was committed.
using ProposalResult = std::optional<ProposalDecision>;

class DutyRunner {
public:
    static constexpr Millis kInitialBackoff = 150;  ///< backoff after a failure; doubles up to kMaxBackoff
    static constexpr Millis kMaxBackoff = 1500;
    static constexpr Millis kInitialTimeout =
        1500;  ///< of a call; doubles up to kMaxTimeout while calls time out
    static constexpr Millis kMaxTimeout = 6000;

    DutyRunner(Subject subject, Millis takeoverDelay, std::uint64_t seed)
        : subject_(std::move(subject)), takeoverDelay_(takeoverDelay), random_(seed) {}

    /// Call this every few tens of milliseconds and after each event. `work`: the call that is due; empty if none.
    [[nodiscard]] std::optional<DutyAction> step(Millis now, const DutyContext& context,
                                                 const std::optional<DutyWork>& work);
    /// Whether step() would use `work`; compute it only if so.
    [[nodiscard]] bool needsWork(Millis now, const DutyContext& context) const;

    /// Completion of a ProposeIntent.
    [[nodiscard]] std::optional<DutyAction> onProposed(Millis now, const DutyContext& context,
                                                       std::uint64_t attempt, const ProposalResult& result);
    /// Completion of a CallPlatform. `status`: the HTTP status; 0: no response.
    [[nodiscard]] std::optional<DutyAction> onCalled(Millis now, std::uint64_t attempt, int status);
    /// Completion of a SettleIntent.
    void onSettled(Millis now, std::uint64_t attempt, bool recorded);

    /// The newest recorded number in the table or settled by this member; empty: none.
    [[nodiscard]] std::optional<std::uint64_t> newestNumber(const Table& table) const;

    [[nodiscard]] const Subject& subject() const { return subject_; }
    /// HTTP status of the last call; 0: no call yet, or no response. For the operators.
    [[nodiscard]] int lastStatus() const { return lastStatus_; }
    [[nodiscard]] std::uint64_t callCount() const { return calls_; }

private:
    enum class State { idle, proposing, calling, settling };

    [[nodiscard]] bool canAct(Millis now, const DutyContext& context) const;
    [[nodiscard]] bool isWithinTakeoverDelay(Millis now, const DutyContext& context) const;
    [[nodiscard]] std::optional<Intent> oldestOpenIntent(const Table& table) const;
    [[nodiscard]] DutyAction call(const DutyContext& context, const Intent& intent);
    void backOff(Millis now);
    void resetBackoff();

    Subject subject_;
    Millis takeoverDelay_;
    SplitMix random_;
    State state_ = State::idle;
    std::uint64_t epoch_ = 0;                     // in which the current state was entered
    std::uint64_t number_ = 0;                    // of the intent in progress
    std::uint64_t attempt_ = 0;                   // of the newest action
    std::optional<std::uint64_t> settledNumber_;  // newest settled by this member; its table may lag behind
    std::uint64_t rejectedToken_ = 0;  // rejected because the platform has seen a higher one; not used again
    Millis retryAt_ = 0;
    Millis backoff_ = kInitialBackoff;
    Millis timeout_ = kInitialTimeout;
    int lastStatus_ = 0;
    std::uint64_t calls_ = 0;
};

}  // namespace beechpoint::duties
