// Single-decree Paxos on the next view: the durable half (acceptor) and the counting half (proposer). Neither sends.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "replica/messages.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

// Changes its vote at once; the caller answers only when the changed vote is durable.
class Acceptor {
public:
    explicit Acceptor(Vote vote) : vote_(std::move(vote)) {}

    // True if the vote now promises this ballot (also when it did so before).
    bool promise(std::uint64_t target, const ProposalNumber& proposal);
    // True if the vote now holds this value under this ballot.
    bool accept(std::uint64_t target, const ProposalNumber& proposal, const View& value);
    // A view of this epoch is decided: votes up to it have no further use.
    void decided(std::uint64_t epoch);

    const Vote& vote() const { return vote_; }
    ProposalNumber promisedFor(std::uint64_t target) const {
        return vote_.epoch == target ? vote_.promised : ProposalNumber{};
    }
    bool sealed(std::uint64_t epoch) const { return vote_.epoch == epoch + 1 && vote_.promised.round > 0; }

private:
    bool open(std::uint64_t target);

    Vote vote_;
};

struct ReceivedPromise {
    Member from;
    Promise promise;
    bool votes = true;  // counts towards the majority; else it seals a link of the chain only
};

// idle -> preparing (begin) -> accepting (propose) -> idle (decided, stop)
class Proposer {
public:
    enum class Phase { idle, preparing, accepting };

    void begin(Millis now, std::uint64_t target, ProposalNumber proposal, std::size_t majority);
    void stop() { phase_ = Phase::idle; }
    // Acceptors are named by a key that stands for one disk; only those that vote count towards the majority. False: not of the
    // present ballot and phase.
    bool onPromise(const std::string& acceptor, const Member& from, const Promise& promise,
                   bool votes = true);
    bool onAccepted(const std::string& acceptor, const Accepted& accepted, bool votes = true);
    // The value that must be proposed, if one may have been chosen already.
    std::optional<View> bound() const;
    void propose(Millis now, View value);

    Phase phase() const { return phase_; }
    std::uint64_t target() const { return target_; }
    const ProposalNumber& proposal() const { return proposal_; }
    const View& value() const { return value_; }
    Millis since() const { return since_; }
    bool hasMajority() const;
    bool answered(const std::string& acceptor) const;
    const std::map<std::string, ReceivedPromise>& promises() const { return promises_; }

private:
    Phase phase_ = Phase::idle;
    std::uint64_t target_ = 0;
    ProposalNumber proposal_;
    std::size_t majority_ = 0;
    Millis since_ = 0;
    View value_;
    std::map<std::string, ReceivedPromise> promises_;
    std::map<std::string, bool> accepted_;  // whether that acceptor votes
};

}  // namespace beechpoint::replica
