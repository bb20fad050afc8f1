/// Commits the duties' intents and their settlements at the head of the chain, one batch at a time beside the operators' writes
/// (duties/intent_log.hpp decides). Requests that can't be completed in time end with `answered` false, and the holder retries.
///
/// To be called from the event loop's thread only.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <variant>

#include "control_messages/messages.hpp"
#include "core/clock.hpp"
#include "duties/intent_log.hpp"

namespace beechpoint::control {

class ReplicaDriver;

class IntentWriter : public std::enable_shared_from_this<IntentWriter> {
public:
    static constexpr std::size_t kMaxWaiting = 64;  ///< a further request fails at once
    static constexpr Millis kMaxWait = 700;

    using OnProposed = std::function<void(const ProposalReply&)>;
    using OnSettled = std::function<void(bool recorded)>;

    /// Both must outlive it.
    IntentWriter(const Clock& clock, ReplicaDriver& driver) : clock_(clock), driver_(driver) {}

    /// `done` is called exactly once, possibly before this returns.
    void propose(duties::Proposal proposal, OnProposed done);
    void settle(duties::Settlement settlement, OnSettled done);

    /// Processes the queue; to be called after a change of the replica and periodically.
    void proceed();

private:
    struct WaitingProposal {
        duties::Proposal proposal;
        OnProposed done;
    };
    struct WaitingSettlement {
        duties::Settlement settlement;
        OnSettled done;
    };
    struct Waiting {
        Millis deadline = 0;
        std::variant<WaitingProposal, WaitingSettlement> request;
    };

    void add(std::variant<WaitingProposal, WaitingSettlement> request);
    [[nodiscard]] bool membersRespond() const;
    void endOverdue();
    void write(WaitingProposal& waiting);
    void write(WaitingSettlement& waiting);
    static void end(Waiting& waiting);

    const Clock& clock_;
    ReplicaDriver& driver_;
    std::deque<Waiting> waiting_;
};

}  // namespace beechpoint::control
