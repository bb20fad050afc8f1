#include "replica/view_change.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>
#include <utility>

namespace beechpoint::replica {

namespace {

constexpr Millis kFoundingFirstDelay = 100;
constexpr Millis kUnfinishedDelay = 400;  // gives the proposer that already received promises time to finish

}  // namespace

ViewChange::ViewChange(Membership& membership, Outbox& outbox, const FailureDetector& detector,
                       const Chain& chain, const ControlRecord& control, std::uint64_t seed, Millis now,
                       Install install)
    : membership_(membership),
      outbox_(outbox),
      detector_(detector),
      chain_(chain),
      random_(seed),
      install_(std::move(install)),
      acceptors_(membership),
      acceptor_(control.vote),
      planner_(membership, detector, chain),
      records_(membership, outbox, acceptor_, control),
      lastInstallAt_(now - kMinViewChangeInterval) {}

bool ViewChange::isBusy() const {
    const bool proposing = proposer_.phase() != Proposer::Phase::idle;
    return changeDueSince_ > 0 || proposing || acceptors_.isFounding();
}

// ---- Acceptor

// Installs the base view of the request if it is newer. Returns false if this process may not vote on its successor.
bool ViewChange::canVote(Millis now, const Message& message, const View& base,
                         const std::vector<std::string>& founders) {
    if (base.epoch > membership_.view.epoch) install_(now, base);
    if (base.epoch < membership_.view.epoch) {
        outbox_.send(message.from.internalAddress, Decided{membership_.view});
        return false;
    }
    if (base.epoch == 0 && (membership_.founders.empty() || founders != membership_.founders)) return false;
    return !acceptors_.keyOf(membership_.self).empty() && !acceptors_.keyOf(message.from).empty();
}

// A member that is not sealed yet verifies a cause that the proposer has only from reports. A voter outside the chain does not
// assess the chain's members.
bool ViewChange::isCauseUnconfirmed(Millis now, const Prepare& prepare) const {
    if (acceptors_.isFounding() || !membership_.isInChain()) return false;
    if (acceptor_.isSealed(prepare.base.epoch) || prepare.observedDirectly) return false;
    return !planner_.assess(now).isChangeNeeded();
}

void ViewChange::replyOnceDurable(const Vote& vote, ControlRecordStore::Reply reply) {
    if (records_.isDurable(vote))
        reply();
    else
        records_.persistVote(std::move(reply));
}

void ViewChange::sendPromise(const std::string& address, std::uint64_t target, const Vote& vote) {
    const ReplicaTable& table = chain_.table();
    outbox_.send(address, Promise{vote.promised, target, vote.accepted, vote.value, table.syncedEpoch(),
                                  table.storedPosition(), table.appliedPosition(), membership_.diskFailing});
}

void ViewChange::onPrepare(Millis now, const Message& message, const Prepare& prepare) {
    if (!canVote(now, message, prepare.base, prepare.founders)) return;
    const std::uint64_t target = prepare.base.epoch + 1;
    const std::string replyTo = message.from.internalAddress;
    highestRound_ = std::max(highestRound_, prepare.proposal.round);
    const ProposalNumber promised = acceptor_.promisedFor(target);
    if (prepare.proposal < promised || isCauseUnconfirmed(now, prepare)) {
        outbox_.send(replyTo, Reject{prepare.proposal, target, promised});
        return;
    }
    const bool repeated = prepare.proposal == promised;
    if (repeated && records_.hasVoteInFlight()) return;
    if (!acceptor_.promise(target, prepare.proposal)) return;
    membership_.sealed = isSealed();
    const Vote vote = acceptor_.vote();
    replyOnceDurable(vote, [this, replyTo, target, vote] { sendPromise(replyTo, target, vote); });
}

void ViewChange::onAccept(Millis now, const Message& message, const Accept& accept) {
    if (!canVote(now, message, accept.base, accept.founders)) return;
    const std::uint64_t target = accept.base.epoch + 1;
    const std::string replyTo = message.from.internalAddress;
    highestRound_ = std::max(highestRound_, accept.proposal.round);
    const Vote before = acceptor_.vote();
    if (!acceptor_.accept(target, accept.proposal, accept.value)) {
        outbox_.send(replyTo, Reject{accept.proposal, target, acceptor_.promisedFor(target)});
        return;
    }
    membership_.sealed = isSealed();
    const Vote vote = acceptor_.vote();
    const bool repeated = before == vote;
    if (repeated && records_.hasVoteInFlight()) return;
    replyOnceDurable(vote, [this, replyTo, target, proposal = accept.proposal] {
        outbox_.send(replyTo, Accepted{proposal, target});
    });
}

// ---- Proposer

void ViewChange::tick(Millis now) {
    if (acceptors_.isFounding())
        considerFounding(now);
    else
        considerChange(now);
    advance(now);
    checkProposalTimers(now);
    records_.persistIfStale(now);
}

void ViewChange::checkProposalTimers(Millis now) {
    if (proposer_.phase() == Proposer::Phase::idle) return;
    const Millis limit = kProposalTimeout + (acceptors_.isFounding() ? kFoundingGracePeriod : 0);
    if (now - proposer_.since() > limit) {
        proposer_.stop();
        backOff(now);
    } else if (now >= resendAt_) {
        resend(now);
    }
}

void ViewChange::onProcessResumed(Millis now) {
    proposer_.stop();
    changeDueSince_ = 0;
    backOffUntil_ = std::max(backOffUntil_, now + kHeartbeatInterval);
}

void ViewChange::enterView(Millis now, const View& before) {
    acceptor_.decided(membership_.view.epoch);
    membership_.sealed = isSealed();
    if (proposer_.target() <= membership_.view.epoch) proposer_.stop();
    planner_.enterView(now, before);
    changeDueSince_ = 0;
    lastInstallAt_ = now;
}

void ViewChange::considerFounding(Millis now) {
    if (changeDueSince_ == 0) changeDueSince_ = now;
    if (proposer_.phase() != Proposer::Phase::idle || now < backOffUntil_) return;
    const auto own = std::ranges::find(membership_.founders, membership_.self.controlAddress);
    if (own == membership_.founders.end()) return;
    const auto rank = static_cast<double>(own - membership_.founders.begin());
    if (now < changeDueSince_ + kFoundingFirstDelay + rank * kFoundingRankDelay) return;
    begin(now, true);
}

void ViewChange::considerChange(Millis now) {
    if (!membership_.isInChain() || membership_.diskFailing || now < assessAt_) return;
    assessAt_ = now + kAssessmentInterval;
    const Assessment assessment = planner_.assess(now);
    logIfImpossible(assessment);
    if (!assessment.isActionable() || !detector_.isMajorityReachable(now)) {
        changeDueSince_ = 0;
        return;
    }
    if (changeDueSince_ == 0) changeDueSince_ = now;
    if (proposer_.phase() != Proposer::Phase::idle) return;
    if (now < backOffUntil_ || now < lastInstallAt_ + kMinViewChangeInterval) return;
    const bool anotherProposes = membership_.sealed || assessment.isOnlyUnfinished();
    const Millis delay = anotherProposes ? kUnfinishedDelay : 0;
    const auto rank = static_cast<double>(planner_.rank(now, assessment));
    if (now < changeDueSince_ + delay + rank * kProposalRankDelay) return;
    planner_.onProposalBegun(assessment);
    begin(now, assessment.observedDirectly);
}

// Logs each set of exclusions once, so that a view that cannot change is visible without a line per assessment.
void ViewChange::logIfImpossible(const Assessment& assessment) {
    const bool impossible = assessment.isChangeNeeded() && !assessment.possible;
    std::set<std::string> excluded = impossible ? assessment.excluded : std::set<std::string>{};
    if (excluded == impossibleExclusions_) return;
    impossibleExclusions_ = std::move(excluded);
    if (!impossible) return;
    outbox_.log(fmt::format("no view can follow epoch {}: too few members without {} (stalled: {})",
                            membership_.view.epoch, fmt::join(assessment.excluded, ", "),
                            fmt::join(assessment.stalled, ", ")));
}

void ViewChange::begin(Millis now, bool observedDirectly) {
    highestRound_ = std::max(highestRound_, acceptor_.vote().promised.round) + 1;
    observedDirectly_ = observedDirectly;
    const ProposalNumber proposal{highestRound_, membership_.self.name, membership_.self.session};
    proposer_.begin(now, membership_.view.epoch + 1, proposal, acceptors_.majority());
    outbox_.log(fmt::format("proposing the view of epoch {}, proposal number {}", proposer_.target(),
                            proposal.round));
    resend(now);
}

void ViewChange::sendRequest(const std::string& address) {
    if (proposer_.phase() == Proposer::Phase::preparing)
        outbox_.send(address, Prepare{proposer_.proposal(), membership_.view, membership_.founders,
                                      observedDirectly_});
    else
        outbox_.send(address,
                     Accept{proposer_.proposal(), membership_.view, membership_.founders, proposer_.value()});
}

// Sends the current request to all acceptors. A repeated answer is harmless.
void ViewChange::resend(Millis now) {
    resendAt_ = now + retryDelay();
    for (const std::string& address : acceptors_.addresses()) sendRequest(address);
}

void ViewChange::backOff(Millis now) { backOffUntil_ = now + retryDelay(); }

void ViewChange::onPromise(Millis now, const Message& message, const Promise& promise) {
    const std::string acceptor = acceptors_.keyOf(message.from);
    if (acceptor.empty()) return;
    const bool votes = acceptors_.hasVote(message.from);
    if (proposer_.onPromise(acceptor, message.from, promise, votes)) advance(now);
}

void ViewChange::onReject(Millis now, const Reject& reject) {
    highestRound_ = std::max(highestRound_, reject.promised.round);
    if (proposer_.phase() == Proposer::Phase::idle || reject.proposal != proposer_.proposal()) return;
    if (reject.target != proposer_.target()) return;
    if (reject.promised <= proposer_.proposal()) return;  // it observes no cause; others may
    proposer_.stop();
    backOff(now);
}

void ViewChange::onAccepted(Millis now, const Message& message, const Accepted& accepted) {
    const std::string acceptor = acceptors_.keyOf(message.from);
    if (acceptor.empty()) return;
    if (proposer_.onAccepted(acceptor, accepted, acceptors_.hasVote(message.from))) advance(now);
}

// Members that answer heartbeats get some time to promise, so that the next view does not exclude them.
bool ViewChange::hasWaitedLongEnough(Millis now) const {
    const Millis waited = now - proposer_.since();
    if (acceptors_.isFounding())
        return proposer_.promises().size() == membership_.founders.size() || waited >= kFoundingGracePeriod;
    if (waited >= kPromiseGracePeriod) return true;
    return std::ranges::all_of(membership_.view.members,
                               [&](const Member& member) { return isPromiseDispensable(member, now); });
}

bool ViewChange::isPromiseDispensable(const Member& member, Millis now) const {
    if (proposer_.answered(acceptors_.keyOf(member))) return true;
    if (sameDisk(member, membership_.self)) return false;
    const Peer* peer = detector_.find(member.internalAddress);
    if (!peer || detector_.isSuspected(member.internalAddress, now)) return true;
    return peer->status.diskFailing || !sameDisk(peer->member, member);
}

void ViewChange::advance(Millis now) {
    if (!proposer_.hasMajority() || proposer_.target() != membership_.view.epoch + 1) return;
    if (proposer_.phase() == Proposer::Phase::accepting) {
        const View decided = proposer_.value();
        proposer_.stop();
        announceDecision(decided);
        install_(now, decided);
        return;
    }
    std::optional<View> value = proposer_.highestAcceptedValue();
    if (!value) {
        if (!hasWaitedLongEnough(now)) return;
        value = acceptors_.isFounding() ? planner_.composeFounding(proposer_.promises())
                                        : planner_.compose(now, proposer_.promises());
    }
    if (!value) return;  // more promises may arrive before the time-out
    proposer_.beginAccepting(now, *value);
    resend(now);
}

void ViewChange::announceDecision(const View& view) {
    std::set<std::string> addresses;
    for (const std::string& address : acceptors_.addresses()) addresses.insert(address);
    for (const Member& member : view.membersAndVoters()) addresses.insert(member.internalAddress);
    addresses.erase(membership_.self.internalAddress);
    for (const std::string& address : addresses) outbox_.send(address, Decided{view});
}

void ViewChange::onDecided(Millis now, const View& view) {
    if (view.epoch > membership_.view.epoch && !view.members.empty()) install_(now, view);
}

}  // namespace beechpoint::replica
