#include "replica/view_agreement.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

// Switches the vote to `target`. Votes for earlier epochs are obsolete: their views are decided.
bool Acceptor::adoptEpoch(std::uint64_t target) {
    if (target < vote_.epoch) return false;
    if (target > vote_.epoch) vote_ = Vote{target, {}, {}, std::nullopt};
    return true;
}

bool Acceptor::promise(std::uint64_t target, const ProposalNumber& proposal) {
    if (proposal.round == 0 || !adoptEpoch(target) || proposal < vote_.promised) return false;
    vote_.promised = proposal;
    return true;
}

bool Acceptor::accept(std::uint64_t target, const ProposalNumber& proposal, const View& value) {
    if (value.epoch != target || !promise(target, proposal)) return false;
    vote_.accepted = proposal;
    vote_.value = value;
    return true;
}

void Acceptor::decided(std::uint64_t epoch) {
    if (vote_.epoch <= epoch) vote_ = Vote{};
}

void Proposer::begin(Millis now, std::uint64_t target, ProposalNumber proposal, std::size_t majority) {
    phase_ = Phase::preparing;
    target_ = target;
    proposal_ = std::move(proposal);
    majority_ = majority;
    since_ = now;
    promises_.clear();
    accepted_.clear();
}

bool Proposer::onPromise(const std::string& acceptor, const Member& from, const Promise& promise,
                         bool votes) {
    if (phase_ != Phase::preparing || promise.target != target_ || promise.proposal != proposal_)
        return false;
    promises_.insert_or_assign(acceptor, ReceivedPromise{from, promise, votes});
    return true;
}

bool Proposer::onAccepted(const std::string& acceptor, const Accepted& accepted, bool votes) {
    if (phase_ != Phase::accepting || accepted.target != target_ || accepted.proposal != proposal_)
        return false;
    accepted_[acceptor] = votes;
    return true;
}

std::optional<View> Proposer::highestAcceptedValue() const {
    const Promise* highest = nullptr;
    for (const auto& [acceptor, received] : promises_) {
        if (!received.promise.value) continue;
        if (!highest || highest->accepted < received.promise.accepted) highest = &received.promise;
    }
    return highest ? highest->value : std::nullopt;
}

void Proposer::beginAccepting(Millis now, View value) {
    phase_ = Phase::accepting;
    since_ = now;
    value_ = std::move(value);
}

bool Proposer::hasMajority() const { return phase_ != Phase::idle && votes() >= majority_; }

std::size_t Proposer::votes() const {
    const auto count =
        phase_ == Phase::preparing
            ? std::ranges::count_if(promises_, [](const auto& entry) { return entry.second.votes; })
            : std::ranges::count_if(accepted_, [](const auto& entry) { return entry.second; });
    return static_cast<std::size_t>(count);
}

bool Proposer::answered(const std::string& acceptor) const {
    return phase_ == Phase::preparing ? promises_.contains(acceptor) : accepted_.contains(acceptor);
}

}  // namespace beechpoint::replica
