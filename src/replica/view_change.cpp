#include "replica/view_change.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace beechpoint::replica {

namespace {

constexpr Millis kFoundingFirstDelay = 100;
constexpr Millis kUnfinishedDelay = 400;  // for the proposer whose promises were given

// The seeds' internal addresses: their IP with this process's internal port.
std::string internalAddressOf(const std::string& controlAddress, const std::string& ownInternalAddress) {
    return controlAddress.substr(0, controlAddress.rfind(':')) +
           ownInternalAddress.substr(ownInternalAddress.rfind(':'));
}

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
      acceptor_(control.vote),
      planner_(membership, detector, chain),
      durable_(control),
      lastInstallAt_(now - kViewChangeEvery) {}

// ---- Record on disk

ControlRecord ViewChange::control() const {
    return {membership_.self.incarnation, membership_.founders, membership_.view, acceptor_.vote()};
}

void ViewChange::persistControl() {
    if (outbox_.congested()) return;
    DurableUpdate update;
    update.control = control();
    ++controlsInFlight_;
    outbox_.persist(update, [this, record = *update.control](Millis now, bool stored) {
        --controlsInFlight_;
        if (stored)
            durable_ = record;
        else
            controlRetryAt_ = now + kDiskProbeEvery;
    });
}

// Persists the vote; replies once it is durable. A failed one is voted again when the request comes again.
void ViewChange::vote(Millis, std::function<void()> reply) {
    if (outbox_.congested()) return;
    DurableUpdate update;
    update.control = control();
    ++votesInFlight_;
    ++controlsInFlight_;
    outbox_.persist(update, [this, record = *update.control, reply = std::move(reply)](Millis, bool stored) {
        --votesInFlight_;
        --controlsInFlight_;
        if (!stored) return;
        durable_ = record;
        reply();
    });
}

// ---- Acceptors

std::string ViewChange::acceptorKey(const Member& member) const {
    if (founding()) {
        const bool founder =
            std::ranges::find(membership_.founders, member.controlAddress) != membership_.founders.end();
        return founder ? member.controlAddress : std::string{};
    }
    const bool listed = membership_.view.findDisk(member) || membership_.view.findVoter(member);
    return listed ? fmt::format("{}#{}", member.name, member.incarnation) : std::string{};
}

std::vector<std::string> ViewChange::acceptorAddresses() const {
    std::vector<std::string> addresses;
    if (founding()) {
        for (const std::string& founder : membership_.founders)
            addresses.push_back(internalAddressOf(founder, membership_.self.internalAddress));
        return addresses;
    }
    for (const Member& member : membership_.view.membersAndVoters()) {
        const bool own = sameDisk(member, membership_.self);
        addresses.push_back(own ? membership_.self.internalAddress : member.internalAddress);
    }
    return addresses;
}

std::size_t ViewChange::majority() const {
    return founding() ? membership_.founders.size() / 2 + 1 : membership_.view.majority();
}

// Brings this process to the base of the request. False if it may not vote on the view that follows it.
bool ViewChange::mayVote(Millis now, const Message& message, const View& base,
                         const std::vector<std::string>& founders) {
    if (base.epoch > membership_.view.epoch) install_(now, base);
    if (base.epoch < membership_.view.epoch) {
        outbox_.send(message.from.internalAddress, Decided{membership_.view});
        return false;
    }
    if (base.epoch == 0 && (membership_.founders.empty() || founders != membership_.founders)) return false;
    return !acceptorKey(membership_.self).empty() && !acceptorKey(message.from).empty();
}

// ---- Acceptor

void ViewChange::onPrepare(Millis now, const Message& message, const Prepare& prepare) {
    if (!mayVote(now, message, prepare.base, prepare.founders)) return;
    const std::uint64_t target = prepare.base.epoch + 1;
    const std::string replyTo = message.from.internalAddress;
    highestRound_ = std::max(highestRound_, prepare.proposal.round);
    const ProposalNumber promised = acceptor_.promisedFor(target);
    // A voter outside the chain does not judge its members.
    const bool judges = !founding() && membership_.inChain();
    const bool causeless =
        judges && !acceptor_.sealed(prepare.base.epoch) && !prepare.observed && !planner_.assess(now).any();
    if (prepare.proposal < promised || causeless) {
        outbox_.send(replyTo, Refuse{prepare.proposal, target, promised});
        return;
    }
    const bool repeated = prepare.proposal == promised;
    if (repeated && votesInFlight_ > 0) return;
    if (!acceptor_.promise(target, prepare.proposal)) return;
    membership_.sealed = sealed();
    const Vote given = acceptor_.vote();
    const auto reply = [this, replyTo, target, given] {
        outbox_.send(replyTo,
                     Promise{given.promised, target, given.accepted, given.value, chain_.syncedEpoch(),
                             chain_.storedPosition(), chain_.foldedPosition(), membership_.diskFailing});
    };
    if (durable_.vote == given)
        reply();
    else
        vote(now, reply);
}

void ViewChange::onAccept(Millis now, const Message& message, const Accept& accept) {
    if (!mayVote(now, message, accept.base, accept.founders)) return;
    const std::uint64_t target = accept.base.epoch + 1;
    const std::string replyTo = message.from.internalAddress;
    highestRound_ = std::max(highestRound_, accept.proposal.round);
    const Vote before = acceptor_.vote();
    if (!acceptor_.accept(target, accept.proposal, accept.value)) {
        outbox_.send(replyTo, Refuse{accept.proposal, target, acceptor_.promisedFor(target)});
        return;
    }
    membership_.sealed = sealed();
    const Vote given = acceptor_.vote();
    if (before == given && votesInFlight_ > 0) return;
    const auto reply = [this, replyTo, target, proposal = accept.proposal] {
        outbox_.send(replyTo, Accepted{proposal, target});
    };
    if (durable_.vote == given)
        reply();
    else
        vote(now, reply);
}

// ---- Proposer

void ViewChange::tick(Millis now) {
    if (founding())
        considerFounding(now);
    else
        considerChange(now);
    advance(now);
    if (proposer_.phase() != Proposer::Phase::idle) {
        if (now - proposer_.since() > kProposalTimeout + (founding() ? kFoundingWait : 0)) {
            proposer_.stop();
            backOff(now);
        } else if (now >= resendAt_) {
            resend(now);
        }
    }
    const bool written = durable_.vote == acceptor_.vote() && durable_.view == membership_.view;
    if (!written && controlsInFlight_ == 0 && now >= controlRetryAt_) persistControl();
}

void ViewChange::wake(Millis now) {
    proposer_.stop();
    troubleSince_ = 0;
    backOffUntil_ = std::max(backOffUntil_, now + kHeartbeatEvery);
}

void ViewChange::enterView(Millis now, const View& before) {
    acceptor_.decided(membership_.view.epoch);
    membership_.sealed = sealed();
    if (proposer_.target() <= membership_.view.epoch) proposer_.stop();
    planner_.enterView(now, before);
    troubleSince_ = 0;
    lastInstallAt_ = now;
}

void ViewChange::considerFounding(Millis now) {
    if (troubleSince_ == 0) troubleSince_ = now;
    if (proposer_.phase() != Proposer::Phase::idle || now < backOffUntil_) return;
    const auto own = std::ranges::find(membership_.founders, membership_.self.controlAddress);
    if (own == membership_.founders.end()) return;
    const auto rank = static_cast<double>(own - membership_.founders.begin());
    if (now < troubleSince_ + kFoundingFirstDelay + rank * kFoundingRankDelay) return;
    begin(now, true);
}

void ViewChange::considerChange(Millis now) {
    if (!membership_.inChain() || membership_.diskFailing || now < assessAt_) return;
    assessAt_ = now + kAssessEvery;
    const Assessment assessment = planner_.assess(now);
    if (!assessment.actionable() || !planner_.hearsMajority(now)) {
        troubleSince_ = 0;
        return;
    }
    if (troubleSince_ == 0) troubleSince_ = now;
    if (proposer_.phase() != Proposer::Phase::idle) return;
    if (now < backOffUntil_ || now < lastInstallAt_ + kViewChangeEvery) return;
    const Millis patience = membership_.sealed || assessment.onlyUnfinished() ? kUnfinishedDelay : 0;
    const auto rank = static_cast<double>(planner_.rank(now, assessment));
    if (now < troubleSince_ + patience + rank * kProposalRankDelay) return;
    planner_.propose(assessment);
    begin(now, assessment.observed);
}

void ViewChange::begin(Millis now, bool observed) {
    highestRound_ = std::max(highestRound_, acceptor_.vote().promised.round) + 1;
    observed_ = observed;
    const ProposalNumber proposal{highestRound_, membership_.self.name, membership_.self.session};
    proposer_.begin(now, membership_.view.epoch + 1, proposal, majority());
    outbox_.log(fmt::format("proposing the view of epoch {}, round {}", proposer_.target(), proposal.round));
    resend(now);
}

void ViewChange::sendRequest(const std::string& address) {
    if (proposer_.phase() == Proposer::Phase::preparing)
        outbox_.send(address,
                     Prepare{proposer_.proposal(), membership_.view, membership_.founders, observed_});
    else
        outbox_.send(address,
                     Accept{proposer_.proposal(), membership_.view, membership_.founders, proposer_.value()});
}

// Sends the present request to all acceptors. Those that have answered already may answer again: no harm.
void ViewChange::resend(Millis now) {
    resendAt_ = now + retryDelay();
    for (const std::string& address : acceptorAddresses()) sendRequest(address);
}

void ViewChange::backOff(Millis now) { backOffUntil_ = now + retryDelay(); }

void ViewChange::onPromise(Millis now, const Message& message, const Promise& promise) {
    const std::string acceptor = acceptorKey(message.from);
    if (acceptor.empty()) return;
    if (proposer_.onPromise(acceptor, message.from, promise, votes(message.from))) advance(now);
}

void ViewChange::onRefuse(Millis now, const Refuse& refuse) {
    highestRound_ = std::max(highestRound_, refuse.promised.round);
    if (proposer_.phase() == Proposer::Phase::idle || refuse.proposal != proposer_.proposal()) return;
    if (refuse.target != proposer_.target()) return;
    if (refuse.promised <= proposer_.proposal()) return;  // it saw no cause; others may
    proposer_.stop();
    backOff(now);
}

void ViewChange::onAccepted(Millis now, const Message& message, const Accepted& accepted) {
    const std::string acceptor = acceptorKey(message.from);
    if (!acceptor.empty() && proposer_.onAccepted(acceptor, accepted, votes(message.from))) advance(now);
}

// Members that answer heartbeats get some time to promise, so that they are not left out.
bool ViewChange::waitedLongEnough(Millis now) const {
    if (founding())
        return proposer_.promises().size() == membership_.founders.size() ||
               now - proposer_.since() >= kFoundingWait;
    if (now - proposer_.since() >= kPromiseWait) return true;
    return std::ranges::all_of(membership_.view.members, [&](const Member& member) {
        if (proposer_.answered(acceptorKey(member))) return true;
        if (sameDisk(member, membership_.self)) return false;
        const Peer* peer = detector_.find(member.internalAddress);
        if (!peer || detector_.suspected(member.internalAddress, now)) return true;
        return peer->status.diskFailing || !sameDisk(peer->member, member);
    });
}

void ViewChange::advance(Millis now) {
    if (!proposer_.hasMajority() || proposer_.target() != membership_.view.epoch + 1) return;
    if (proposer_.phase() == Proposer::Phase::accepting) {
        const View decided = proposer_.value();
        proposer_.stop();
        announce(decided);
        install_(now, decided);
        return;
    }
    std::optional<View> value = proposer_.bound();
    if (!value) {
        if (!waitedLongEnough(now)) return;
        value = founding() ? planner_.composeFounding(proposer_.promises())
                           : planner_.compose(now, proposer_.promises());
    }
    if (!value) return;  // more promises may come until the time-out
    proposer_.propose(now, *value);
    resend(now);
}

void ViewChange::announce(const View& view) {
    std::set<std::string> addresses;
    for (const std::string& address : acceptorAddresses()) addresses.insert(address);
    for (const Member& member : view.membersAndVoters()) addresses.insert(member.internalAddress);
    addresses.erase(membership_.self.internalAddress);
    for (const std::string& address : addresses) outbox_.send(address, Decided{view});
}

void ViewChange::onDecided(Millis now, const View& view) {
    if (view.epoch > membership_.view.epoch && !view.members.empty()) install_(now, view);
}

}  // namespace beechpoint::replica
