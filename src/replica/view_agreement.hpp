/// Single-decree Paxos on the next view (Paxos Made Simple, 2.2): the roles Acceptor and Proposer.
/// Neither performs I/O; ViewChange sends and persists.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "replica/messages.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

/// Paxos acceptor. Changes its vote immediately; the caller must reply only once the changed vote is durable.
///
/// Invariant (P1a): it accepts a proposal of number n only if it has not promised a higher number. Vote::epoch identifies the
/// view to agree on; a vote for a later epoch replaces it.
class Acceptor {
public:
    explicit Acceptor(Vote vote) : vote_(std::move(vote)) {}

    /// Returns true if the vote now promises this proposal number, also if it already did.
    [[nodiscard]] bool promise(std::uint64_t target, const ProposalNumber& proposal);
    /// Returns true if the vote now holds this value with this proposal number.
    [[nodiscard]] bool accept(std::uint64_t target, const ProposalNumber& proposal, const View& value);
    /// Discards votes up to this epoch, whose view is decided.
    void decided(std::uint64_t epoch);

    const Vote& vote() const { return vote_; }
    ProposalNumber promisedFor(std::uint64_t target) const {
        return vote_.epoch == target ? vote_.promised : ProposalNumber{};
    }
    /// Whether it has promised for the view that follows this epoch.
    bool isSealed(std::uint64_t epoch) const { return vote_.epoch == epoch + 1 && vote_.promised.round > 0; }

private:
    bool adoptEpoch(std::uint64_t target);

    Vote vote_;
};

struct ReceivedPromise {
    Member from;
    Promise promise;
    bool votes = true;  // counts towards the majority; otherwise it only seals a chain member
};

/// Paxos proposer: idle -> preparing (begin) -> accepting (beginAccepting) -> idle (stop, once decided or abandoned)
class Proposer {
public:
    enum class Phase { idle, preparing, accepting };

    /// @param majority number of votes required
    void begin(Millis now, std::uint64_t target, ProposalNumber proposal, std::size_t majority);
    void stop() { phase_ = Phase::idle; }
    /// Acceptors are identified by a key per disk; only those that vote count towards the majority. Returns false if the message
    /// does not belong to the current proposal number and phase.
    bool onPromise(const std::string& acceptor, const Member& from, const Promise& promise,
                   bool votes = true);
    bool onAccepted(const std::string& acceptor, const Accepted& accepted, bool votes = true);
    /// The value that must be proposed (P2c), if one may already have been chosen.
    std::optional<View> highestAcceptedValue() const;
    void beginAccepting(Millis now, View value);

    Phase phase() const { return phase_; }
    std::uint64_t target() const { return target_; }
    const ProposalNumber& proposal() const { return proposal_; }
    const View& value() const { return value_; }
    /// Start of the current phase.
    Millis since() const { return since_; }
    /// Whether a majority has answered in the current phase.
    bool hasMajority() const;
    bool answered(const std::string& acceptor) const;
    const std::map<std::string, ReceivedPromise>& promises() const { return promises_; }

private:
    std::size_t votes() const;

    Phase phase_ = Phase::idle;
    std::uint64_t target_ = 0;
    ProposalNumber proposal_;
    std::size_t majority_ = 0;
    Millis since_ = 0;
    View value_;
    std::map<std::string, ReceivedPromise> promises_;
    std::map<std::string, bool> accepted_;  // by acceptor: whether it has a vote
};

}  // namespace beechpoint::replica
