// Construction, the kept state, time, and the way of a message to the part that handles it.
#include "raft/raft_consensus.hpp"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>
#include <variant>

#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

const char* nameOf(Role role) {
    switch (role) {
        case Role::empty:
            return "empty";
        case Role::recovering:
            return "recovering";
        case Role::learner:
            return "learner";
        case Role::follower:
            return "follower";
        case Role::preCandidate:
            return "pre-candidate";
        case Role::candidate:
            return "candidate";
        case Role::leader:
            return "leader";
    }
    return "?";
}

RaftConsensus::RaftConsensus(Options options, std::string self, ProcessIncarnation processIncarnation,
                             std::vector<std::string> voters, std::uint64_t seed, Millis now,
                             StateMachine& machine, const std::optional<PersistentState>& kept)
    : options_(options),
      self_(std::move(self)),
      processIncarnation_(processIncarnation),
      firstVoters_(std::move(voters)),
      draw_(seed),
      machine_(machine),
      log_(firstVoters_),
      requestDeadline_(now),
      nonce_(processIncarnation) {
    if (kept && kept->groupNumber != 0) {
        joinGroup(kept->groupNumber);
        currentTerm_ = kept->currentTerm;
        promisedTerm_ = kept->promisedTerm;
        votedFor_ = kept->votedFor;
        log_.resetTo(kept->lastIncludedIndex, kept->lastIncludedTerm, kept->lastIncludedDigest,
                     kept->lastIncludedVoters.empty() ? firstVoters_ : kept->lastIncludedVoters);
        snapshot_ = kept->snapshot;
        if (!isReadable(*kept, machine_))
            throw std::invalid_argument("raft: the persistent state can't be read");
        commitIndex_ = lastApplied_ = log_.lastIncludedIndex();
        for (const Entry& e : kept->entries) log_.append(e);
        role_ = contains(log_.voters(), self_) ? Role::follower : Role::learner;
    } else {
        role_ = contains(log_.voters(), self_) ? Role::empty : Role::learner;
    }
    resetElectionTimer(now);
}

bool RaftConsensus::isReadable(const PersistentState& kept, StateMachine& machine) {
    return kept.lastIncludedIndex == 0 || machine.load(kept.snapshot.substr(kept.snapshot.find('\n') + 1));
}

PersistentState RaftConsensus::persistentState() const {
    return {groupNumber_,
            currentTerm_,
            promisedTerm_,
            votedFor_,
            log_.lastIncludedIndex(),
            log_.lastIncludedTerm(),
            log_.lastIncludedDigest(),
            snapshot_,
            log_.lastIncludedVoters(),
            log_.entries()};
}

Millis RaftConsensus::nextDeadline() const {
    switch (role_) {
        case Role::leader:
            return std::min(heartbeatDeadline_, electionDeadline_);
        case Role::empty:
        case Role::recovering:
        case Role::learner:
            return requestDeadline_;
        default:
            return electionDeadline_;
    }
}

void RaftConsensus::advance(Millis now, Actions& out) {
    if (role_ == Role::leader) {
        if (now >= electionDeadline_) {  // who can't be heard by a majority leads nobody
            resetElectionTimer(now);
            std::size_t count = 0;
            for (const std::string& name : log_.voters())
                count += name == self_ || now - followers_[name].lastContact < options_.electionTimeoutMax;
            if (count < majority()) return becomeFollower(now, "no contact with a majority", out);
        }
        if (now >= heartbeatDeadline_) sendHeartbeats(now, out);
    } else if (role_ == Role::learner) {
        if (now < requestDeadline_) return;
        requestDeadline_ = now + options_.catchUpInterval * (0.8 + 0.4 * draw_());
        if (log_.voters().empty()) return;
        if (groupNumber_ == 0) return sendVoters(RecoveryRequest{nonce_}, out);
        const std::string& to = log_.voters()[draw_.below(log_.voters().size())];
        send(to, CatchUpRequest{commitIndex_, log_.digestAt(commitIndex_)}, out);
    } else if (role_ == Role::empty || role_ == Role::recovering) {
        if (now >= requestDeadline_) sendRecoveryRequests(now, out);
    } else if (now >= electionDeadline_) {
        becomePreCandidate(now, out);
    }
}

// A sender's new life holds nothing of what the one before had said it holds. Lives have no order: a datagram from an
// earlier one that comes late only makes this ask anew. That such a message does no harm is shown in docs/group.md.
void RaftConsensus::recordIncarnation(const Message& message) {
    ProcessIncarnation& known = processIncarnations_[message.from];
    if (std::exchange(known, message.processIncarnation) == message.processIncarnation) return;
    ++counters_.processIncarnations;
    const auto f = followers_.find(message.from);
    if (f == followers_.end()) return;
    const std::uint64_t round = f->second.heartbeatRound;
    const Millis heard = f->second.lastContact;
    f->second = {};
    f->second.nextIndex = lastLogIndex() + 1;
    f->second.heartbeatRound = round;
    f->second.lastContact = heard;
}

void RaftConsensus::receive(Millis now, const Message& message, Actions& out) {
    const bool opening = std::holds_alternative<RecoveryRequest>(message.body) ||
                         std::holds_alternative<RecoveryResponse>(message.body) ||
                         std::holds_alternative<FoundGroup>(message.body) ||
                         std::holds_alternative<CatchUpRequest>(message.body);
    if (message.from == self_) return;
    if (!opening && groupNumber_ != 0 && message.groupNumber != groupNumber_) return;
    recordIncarnation(message);
    std::visit([&](const auto& body) { on(now, message, body, out); }, message.body);
}

}  // namespace beechpoint::raft
