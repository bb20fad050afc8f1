/// Carries out the duty of one subject at one member: records what is to be sent, sends it, records the outcome. A state machine free of I/O and
/// clock: events come with the time, what is to be done is returned. Owned by control::DutyService; one thread uses it at a time.
///
///   state     | event                                       | next      | action
///   idle      | step: holder, an open intent is committed   | calling   | CallPlatform with its body
///   idle      | step: holder, work is due                   | proposing | Propose
///   proposing | onProposed: an open intent                  | calling   | CallPlatform with the recorded body
///   proposing | onProposed: a settled intent, or superseded | idle      | -
///   proposing | onProposed: tooLarge                        | idle      | the number is passed over
///   proposing | onProposed: stale, or no answer             | idle      | none before the back-off is over
///   calling   | onCalled 200                                | settling  | Settle done
///   calling   | onCalled 409                                | idle      | none under this token any more
///   calling   | onCalled another 4xx                        | settling  | Settle refused
///   calling   | onCalled 429, 5xx, none                     | idle      | none before the back-off is over
///   settling  | onSettled                                   | idle      | where not recorded, the intent is still open and is sent again
///   any       | step: not the holder, or the term changed   | idle      | answers that still come are ignored
///
/// A call is made only by the holder of the newest view that it knows, while a majority has confirmed that view within the replica's freshness
/// bound: a process that wakes up after a freeze is not fresh until it has heard from the majority again. What passes that check and is
/// delayed afterwards carries an older token.
///
/// A member that becomes the holder waits for `takeoverDelay` before it acts, so that holders do not act in turns within the platform's lease
/// time, whoever acted last.
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

/// What holds at one moment.
struct DutyContext {
    bool fresh = false;            ///< in the newest view known, confirmed by a majority
    bool isHolder = false;         ///< this member is the subject's holder in that view
    Millis holderSince = 0;        ///< since when it is, over views
    std::uint64_t epoch = 0;       ///< of the view: the fencing token
    std::string member;            ///< this member's name
    const Table* table = nullptr;  ///< committed
};

/// What the duty wants sent next; asked for only where no intent is open.
struct DutyWork {
    std::uint64_t number = 0;
    std::string body;
};

/// Each action has an `attempt` of its own, which its end brings back: ends of earlier attempts are ignored.
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
    Millis timeout = 0;  ///< without an answer the call has failed
};
struct SettleIntent {
    std::uint64_t attempt = 0;
    Settlement settlement;
};
using DutyAction = std::variant<ProposeIntent, CallPlatform, SettleIntent>;

/// The end of a ProposeIntent. Nothing: no answer, or it is not known whether it was committed.
using ProposalResult = std::optional<ProposalDecision>;

class DutyRunner {
public:
    static constexpr Millis kInitialBackoff = 150;  ///< back-off after a failure; doubles
    static constexpr Millis kMaxBackoff = 1500;
    static constexpr Millis kInitialTimeout = 1500;  ///< of a call; doubles while none is answered
    static constexpr Millis kMaxTimeout = 6000;

    DutyRunner(Subject subject, Millis takeoverDelay, std::uint64_t seed)
        : subject_(std::move(subject)), takeoverDelay_(takeoverDelay), random_(seed) {}

    /// To be called every few tens of milliseconds, and after each event. `work`: what is due; nothing where there is none.
    [[nodiscard]] std::optional<DutyAction> step(Millis now, const DutyContext& context,
                                                 const std::optional<DutyWork>& work);
    /// Whether step() would use `work`: it is not to be computed otherwise.
    [[nodiscard]] bool needsWork(Millis now, const DutyContext& context) const;

    /// The end of a ProposeIntent.
    [[nodiscard]] std::optional<DutyAction> onProposed(Millis now, const DutyContext& context,
                                                       std::uint64_t attempt, const ProposalResult& answer);
    /// The end of a CallPlatform: the status of HTTP; 0: no answer.
    [[nodiscard]] std::optional<DutyAction> onCalled(Millis now, std::uint64_t attempt, int status);
    /// The end of a SettleIntent.
    void onSettled(Millis now, std::uint64_t attempt, bool recorded);

    /// The newest number that is recorded, as far as this member knows; nothing: none.
    [[nodiscard]] std::optional<std::uint64_t> newestNumber(const Table& table) const;

    [[nodiscard]] const Subject& subject() const { return subject_; }
    /// Status of the last call; 0: none was answered. For the operators.
    [[nodiscard]] int lastStatus() const { return lastStatus_; }
    [[nodiscard]] std::uint64_t callCount() const { return calls_; }

private:
    enum class State { idle, proposing, calling, settling };

    [[nodiscard]] bool mayAct(Millis now, const DutyContext& context) const;
    [[nodiscard]] bool waitsForTakeover(Millis now, const DutyContext& context) const;
    [[nodiscard]] std::optional<Intent> oldestOpen(const Table& table) const;
    [[nodiscard]] DutyAction call(const DutyContext& context, const Intent& intent);
    void backOff(Millis now);
    void succeed();

    Subject subject_;
    Millis takeoverDelay_;
    SplitMix random_;
    State state_ = State::idle;
    std::uint64_t epoch_ = 0;    // of the term in which the state was entered
    std::uint64_t number_ = 0;   // of the intent under way
    std::uint64_t attempt_ = 0;  // of the newest action
    std::optional<std::uint64_t>
        settledNumber_;               // the newest that this member settled; its table may show that later
    std::uint64_t refusedToken_ = 0;  // the platform has seen a higher one: not used again
    Millis retryAt_ = 0;
    Millis retryAfter_ = kInitialBackoff;
    Millis timeout_ = kInitialTimeout;
    int lastStatus_ = 0;
    std::uint64_t calls_ = 0;
};

}  // namespace beechpoint::duties
