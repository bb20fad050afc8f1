// Terms, roles and elections: pre-vote, vote, and what a new leader begins with.
#include <fmt/format.h>

#include <algorithm>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

bool RaftConsensus::votes() const { return role_ >= Role::follower && isVoter(self_); }

void RaftConsensus::armElection(Millis now) {
    electionAt_ = now + options_.electionFrom + draw_() * (options_.electionTo - options_.electionFrom);
}

void RaftConsensus::newTerm(Term term, Actions& out) {
    if (term <= term_) return;
    term_ = term;
    promised_ = std::max(promised_, term);
    vote_.clear();
    leader_.clear();
    early_.clear();
    out.keep = true;
}

void RaftConsensus::follow(Millis now, const char* why, Actions& out) {
    if (role_ == Role::leader) {
        ++counters_.stepsDown;
        out.notes.push_back(fmt::format("ledger: no longer leader of term {}: {}", term_, why));
        waiting_.clear();
        followers_.clear();
        leader_.clear();
    }
    role_ = isVoter(self_) ? Role::follower : Role::learner;
    askAt_ = now;
    armElection(now);
}

void RaftConsensus::startPreVote(Millis now, Actions& out) {
    if (!options_.safeguards.preVote) return startElection(now, out);
    role_ = Role::preCandidate;
    leader_.clear();
    asked_ = std::max({term_, seen_}) + 1;
    promised_ = std::max(promised_, asked_);
    out.keep = true;
    yes_ = {self_};
    armElection(now);
    if (yes_.size() >= majority()) return startElection(now, out);
    sendVoters(PreVote{asked_, last(), termAt(last())}, out);
}

void RaftConsensus::startElection(Millis now, Actions& out) {
    ++counters_.elections;
    newTerm(options_.safeguards.preVote ? asked_ : term_ + 1, out);
    role_ = Role::candidate;
    vote_ = self_;
    yes_ = {self_};
    armElection(now);
    if (yes_.size() >= majority()) return lead(now, out);
    sendVoters(VoteRequest{term_, last(), termAt(last())}, out);
}

void RaftConsensus::lead(Millis now, Actions& out) {
    ++counters_.led;
    role_ = Role::leader;
    leader_ = self_;
    leadsSince_ = now;
    followers_.clear();
    for (const std::string& name : voters_) {
        Follower f;
        f.next = last() + 1;
        f.heard = now;
        followers_[name] = f;
    }
    round_ = 0;
    out.notes.push_back(fmt::format("ledger: leader of term {}", term_));
    append({term_, Kind::begin, ""});
    out.keep = true;
    signs(now, out);
    settle(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const PreVote& body, Actions& out) {
    if (!votes()) return;
    const bool hears = role_ == Role::leader || now - heard_ < options_.electionFrom;
    const bool yes = !hears && body.term > term_ && upToDate(body.last, body.lastTerm);
    if (yes && body.term > promised_) promised_ = body.term, out.keep = true;
    send(message.from, PreVoteReply{body.term, yes, std::max(term_, promised_)}, out);
}

void RaftConsensus::on(Millis now, const Message& message, const PreVoteReply& body, Actions& out) {
    if (!body.yes) seen_ = std::max(seen_, body.known);
    if (role_ != Role::preCandidate || body.term != asked_ || !body.yes || !isVoter(message.from)) return;
    yes_.insert(message.from);
    if (yes_.size() >= majority()) startElection(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const VoteRequest& body, Actions& out) {
    if (!votes()) return;
    // Who hears a leader is not drawn into an election by one that doesn't, or that was taken out.
    if (options_.safeguards.preVote && (role_ == Role::leader || now - heard_ < options_.electionFrom))
        return;
    if (body.term > term_) {
        newTerm(body.term, out);
        follow(now, "a newer term", out);
    }
    const bool yes =
        body.term == term_ && (vote_.empty() || vote_ == message.from) && upToDate(body.last, body.lastTerm);
    if (yes) {
        vote_ = message.from;
        out.keep = true;
        armElection(now);
    }
    send(message.from, VoteReply{term_, yes}, out);
}

void RaftConsensus::on(Millis now, const Message& message, const VoteReply& body, Actions& out) {
    if (!votes()) return;
    if (body.term > term_) {
        newTerm(body.term, out);
        return follow(now, "a newer term", out);
    }
    if (role_ != Role::candidate || body.term != term_ || !body.yes || !isVoter(message.from)) return;
    yes_.insert(message.from);
    if (yes_.size() >= majority()) lead(now, out);
}

}  // namespace beechpoint::raft
