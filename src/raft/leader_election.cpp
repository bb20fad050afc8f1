// Terms, roles and elections: pre-vote, vote, and what a new leader begins with.
#include <fmt/format.h>

#include <algorithm>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

bool RaftConsensus::canVote() const { return role_ >= Role::follower && isVoter(self_); }

void RaftConsensus::resetElectionTimer(Millis now) {
    electionDeadline_ = now + options_.electionTimeoutMin +
                        draw_() * (options_.electionTimeoutMax - options_.electionTimeoutMin);
}

void RaftConsensus::enterTerm(Term term, Actions& out) {
    if (term <= currentTerm_) return;
    currentTerm_ = term;
    promisedTerm_ = std::max(promisedTerm_, term);
    votedFor_.clear();
    leader_.clear();
    outOfOrder_.clear();
    out.mustPersist = true;
}

void RaftConsensus::becomeFollower(Millis now, const char* why, Actions& out) {
    if (role_ == Role::leader) {
        ++counters_.stepsDown;
        out.events.push_back(fmt::format("raft: no longer leader of term {}: {}", currentTerm_, why));
        pendingConfirmations_.clear();
        followers_.clear();
        leader_.clear();
    }
    role_ = isVoter(self_) ? Role::follower : Role::learner;
    requestDeadline_ = now;
    resetElectionTimer(now);
}

void RaftConsensus::becomePreCandidate(Millis now, Actions& out) {
    if (!options_.safeguards.preVote) return becomeCandidate(now, out);
    role_ = Role::preCandidate;
    leader_.clear();
    preVoteTerm_ = std::max({currentTerm_, newestTermSeen_}) + 1;
    promisedTerm_ = std::max(promisedTerm_, preVoteTerm_);
    out.mustPersist = true;
    votesGranted_ = {self_};
    resetElectionTimer(now);
    if (votesGranted_.size() >= majority()) return becomeCandidate(now, out);
    sendVoters(PreVote{preVoteTerm_, lastLogIndex(), log_.lastTerm()}, out);
}

void RaftConsensus::becomeCandidate(Millis now, Actions& out) {
    ++counters_.elections;
    enterTerm(options_.safeguards.preVote ? preVoteTerm_ : currentTerm_ + 1, out);
    role_ = Role::candidate;
    votedFor_ = self_;
    votesGranted_ = {self_};
    resetElectionTimer(now);
    if (votesGranted_.size() >= majority()) return becomeLeader(now, out);
    sendVoters(RequestVote{currentTerm_, lastLogIndex(), log_.lastTerm()}, out);
}

void RaftConsensus::becomeLeader(Millis now, Actions& out) {
    ++counters_.electionsWon;
    role_ = Role::leader;
    leader_ = self_;
    leaderSince_ = now;
    followers_.clear();
    for (const std::string& name : log_.voters()) {
        Follower f;
        f.nextIndex = lastLogIndex() + 1;
        f.lastContact = now;
        followers_[name] = f;
    }
    heartbeatRound_ = 0;
    out.events.push_back(fmt::format("raft: leader of term {}", currentTerm_));
    log_.append({currentTerm_, EntryKind::noOp, ""});
    out.mustPersist = true;
    sendHeartbeats(now, out);
    advanceCommitIndex(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const PreVote& body, Actions& out) {
    if (!canVote()) return;
    const bool hears = role_ == Role::leader || now - lastLeaderContact_ < options_.electionTimeoutMin;
    const bool yes =
        !hears && body.term > currentTerm_ && log_.isUpToDate(body.lastLogIndex, body.lastLogTerm);
    if (yes && body.term > promisedTerm_) promisedTerm_ = body.term, out.mustPersist = true;
    send(message.from, PreVoteReply{body.term, yes, std::max(currentTerm_, promisedTerm_)}, out);
}

void RaftConsensus::on(Millis now, const Message& message, const PreVoteReply& body, Actions& out) {
    if (!body.voteGranted) newestTermSeen_ = std::max(newestTermSeen_, body.newestTerm);
    if (role_ != Role::preCandidate || body.term != preVoteTerm_ || !body.voteGranted ||
        !isVoter(message.from))
        return;
    votesGranted_.insert(message.from);
    if (votesGranted_.size() >= majority()) becomeCandidate(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const RequestVote& body, Actions& out) {
    if (!canVote()) return;
    // Who hears a leader is not drawn into an election by one that doesn't, or that was taken out.
    if (options_.safeguards.preVote &&
        (role_ == Role::leader || now - lastLeaderContact_ < options_.electionTimeoutMin))
        return;
    if (body.term > currentTerm_) {
        enterTerm(body.term, out);
        becomeFollower(now, "heard a newer term", out);
    }
    const bool yes = body.term == currentTerm_ && (votedFor_.empty() || votedFor_ == message.from) &&
                     log_.isUpToDate(body.lastLogIndex, body.lastLogTerm);
    if (yes) {
        votedFor_ = message.from;
        out.mustPersist = true;
        resetElectionTimer(now);
    }
    send(message.from, RequestVoteReply{currentTerm_, yes}, out);
}

void RaftConsensus::on(Millis now, const Message& message, const RequestVoteReply& body, Actions& out) {
    if (!canVote()) return;
    if (body.term > currentTerm_) {
        enterTerm(body.term, out);
        return becomeFollower(now, "heard a newer term", out);
    }
    if (role_ != Role::candidate || body.term != currentTerm_ || !body.voteGranted || !isVoter(message.from))
        return;
    votesGranted_.insert(message.from);
    if (votesGranted_.size() >= majority()) becomeLeader(now, out);
}

}  // namespace beechpoint::raft
