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
                             Machine& machine, const std::optional<PersistentState>& kept)
    : options_(options),
      self_(std::move(self)),
      processIncarnation_(processIncarnation),
      firstVoters_(std::move(voters)),
      draw_(seed),
      machine_(machine),
      baseVoters_(firstVoters_),
      voters_(firstVoters_),
      askAt_(now),
      nonce_(processIncarnation) {
    if (kept && kept->number != 0) {
        joins(kept->number);
        term_ = kept->term;
        promised_ = kept->promised;
        vote_ = kept->vote;
        base_ = kept->base;
        baseTerm_ = kept->baseTerm;
        baseDigest_ = kept->baseDigest;
        if (!kept->baseVoters.empty()) baseVoters_ = kept->baseVoters;
        saved_ = kept->saved;
        if (!readable(*kept, machine_)) throw std::invalid_argument("ledger: the kept state can't be read");
        commit_ = applied_ = base_;
        for (const Entry& e : kept->entries) append(e);
        setVoters();
        role_ = contains(voters_, self_) ? Role::follower : Role::learner;
    } else {
        role_ = contains(voters_, self_) ? Role::empty : Role::learner;
    }
    armElection(now);
}

bool RaftConsensus::readable(const PersistentState& kept, Machine& machine) {
    return kept.base == 0 || machine.load(kept.saved.substr(kept.saved.find('\n') + 1));
}

PersistentState RaftConsensus::kept() const {
    PersistentState k{number_,   term_,       promised_, vote_,       base_,
                      baseTerm_, baseDigest_, saved_,    baseVoters_, {}};
    for (const Held& h : log_) k.entries.push_back(h.entry);
    return k;
}

Millis RaftConsensus::next() const {
    switch (role_) {
        case Role::leader:
            return std::min(signsAt_, electionAt_);
        case Role::empty:
        case Role::recovering:
        case Role::learner:
            return askAt_;
        default:
            return electionAt_;
    }
}

void RaftConsensus::advance(Millis now, Actions& out) {
    if (role_ == Role::leader) {
        if (now >= electionAt_) {  // who can't be heard by a majority leads nobody
            armElection(now);
            std::size_t count = 0;
            for (const std::string& name : voters_)
                count += name == self_ || now - followers_[name].heard < options_.electionTo;
            if (count < majority()) return follow(now, "no majority heard", out);
        }
        if (now >= signsAt_) signs(now, out);
    } else if (role_ == Role::learner) {
        if (now < askAt_) return;
        askAt_ = now + options_.pull * (0.8 + 0.4 * draw_());
        if (voters_.empty()) return;
        if (number_ == 0) return sendVoters(StateRequest{nonce_}, out);
        const std::string& to = voters_[draw_.below(voters_.size())];
        send(to, Pull{commit_, digestAt(commit_)}, out);
    } else if (role_ == Role::empty || role_ == Role::recovering) {
        if (now >= askAt_) askState(now, out);
    } else if (now >= electionAt_) {
        startPreVote(now, out);
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
    const std::uint64_t round = f->second.round;
    const Millis heard = f->second.heard;
    f->second = {};
    f->second.next = last() + 1;
    f->second.round = round;
    f->second.heard = heard;
}

void RaftConsensus::receive(Millis now, const Message& message, Actions& out) {
    const bool opening = std::holds_alternative<StateRequest>(message.body) ||
                         std::holds_alternative<StateReply>(message.body) ||
                         std::holds_alternative<Found>(message.body) ||
                         std::holds_alternative<Pull>(message.body);
    if (message.from == self_) return;
    if (!opening && number_ != 0 && message.number != number_) return;
    recordIncarnation(message);
    std::visit([&](const auto& body) { on(now, message, body, out); }, message.body);
}

}  // namespace beechpoint::raft
