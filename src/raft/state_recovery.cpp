// Beginnings: founding a group, joining one, and recovery of a voter that has lost its state.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

namespace {
constexpr Millis kAsk = 300;        // between questions of one that recovers
constexpr Millis kFounding = 5000;  // that an operator's word to found holds
constexpr char kNoVote = '?';       // no vote in this term: what was done in it is forgotten
}  // namespace

void RaftConsensus::joinGroup(std::uint64_t number) {
    groupNumber_ = number;
    if (number != 0) machine_.begin(number);
}

void RaftConsensus::sendRecoveryRequests(Millis now, Actions& out) {
    requestDeadline_ = now + kAsk * (0.8 + 0.4 * draw_());
    if (!options_.safeguards.recovery && groupNumber_ != 0) {
        role_ = Role::follower;
        return resetElectionTimer(now);
    }
    std::set<std::string> ask(log_.voters().begin(), log_.voters().end());
    ask.insert(firstVoters_.begin(), firstVoters_.end());
    if (foundingNumber_ != 0 && now > foundingDeadline_) foundingNumber_ = 0;
    for (const std::string& name : ask) send(name, RecoveryRequest{nonce_}, out);
    if (role_ == Role::recovering) tryRecover(now, out);
}

void RaftConsensus::on(Millis, const Message& message, const RecoveryRequest& body, Actions& out) {
    RecoveryResponse r;
    r.nonce = body.nonce;
    r.status = role_ == Role::empty && foundingNumber_ == 0 ? RecoveryStatus::empty
               : canVote()                                  ? RecoveryStatus::normal
                                                            : RecoveryStatus::recovering;
    r.term = currentTerm_, r.promisedTerm = std::max(promisedTerm_, currentTerm_);
    r.isLeader = isLeader(), r.lastLogIndex = lastLogIndex(), r.groupNumber = groupNumber_,
    r.askerIsVoter = isVoter(message.from);
    if (role_ == Role::learner && groupNumber_ == 0) r.status = RecoveryStatus::empty;
    send(message.from, r, out);
    if (const auto f = foundedMembers_.find(message.from);
        f != foundedMembers_.end() && f->second == message.processIncarnation)
        send(message.from, FoundGroup{groupNumber_, message.processIncarnation}, out);  // the first was lost
}

void RaftConsensus::on(Millis now, const Message& message, const RecoveryResponse& body, Actions& out) {
    if (body.nonce != nonce_) return;
    if (role_ == Role::learner && groupNumber_ == 0) {
        joinGroup(body.groupNumber);
        return;
    }
    if (role_ != Role::empty && role_ != Role::recovering) return;
    if (body.groupNumber != 0 && role_ == Role::empty) {
        joinGroup(body.groupNumber);
        role_ = Role::recovering;
        foundingNumber_ = 0;
        out.events.push_back("raft: the other voters have state; recovering before this member votes");
    }
    if (body.groupNumber != groupNumber_) return;
    recoveryResponses_[message.from] = {body, message.processIncarnation};
    if (role_ == Role::recovering && body.isLeader && !body.askerIsVoter) {  // taken out while it was away
        role_ = Role::learner;
        requestDeadline_ = now;
        return;
    }
    if (role_ == Role::recovering) return tryRecover(now, out);
    if (foundingNumber_ == 0) return;
    for (const std::string& name : firstVoters_) {
        if (name == self_) continue;
        const auto a = recoveryResponses_.find(name);
        if (a == recoveryResponses_.end() || a->second.response.status != RecoveryStatus::empty) return;
    }
    joinGroup(foundingNumber_);
    role_ = Role::follower;
    out.mustPersist = true;
    for (const std::string& name : firstVoters_)
        if (name != self_) {
            foundedMembers_[name] = recoveryResponses_[name].processIncarnation;
            send(name, FoundGroup{groupNumber_, recoveryResponses_[name].processIncarnation}, out);
        }
    recoveryResponses_.clear();
    resetElectionTimer(now);
    out.events.push_back(fmt::format("raft: group founded under number {}", groupNumber_));
}

bool RaftConsensus::foundGroup(Millis now, std::uint64_t number, Actions& out) {
    if (role_ != Role::empty || number == 0) return false;
    foundingNumber_ = number;
    foundingDeadline_ = now + kFounding;
    nonce_ = draw_.bits();  // answers from before this call don't count: another may have called since
    recoveryResponses_.clear();
    sendRecoveryRequests(now, out);
    if (firstVoters_.size() == 1) {
        joinGroup(number);
        role_ = Role::follower;
        out.mustPersist = true;
    }
    return true;
}

void RaftConsensus::on(Millis now, const Message&, const FoundGroup& body, Actions& out) {
    if (body.processIncarnation != processIncarnation_ || body.groupNumber == 0 ||
        (role_ != Role::empty && role_ != Role::recovering))
        return;
    if (groupNumber_ != 0 && groupNumber_ != body.groupNumber) return;
    if (lastLogIndex() > 0 && !isVoter(self_)) return;
    joinGroup(body.groupNumber);
    role_ = Role::follower;
    out.mustPersist = true;
    resetElectionTimer(now);
    out.events.push_back(fmt::format("raft: group founded under number {}", groupNumber_));
}

void RaftConsensus::tryRecover(Millis now, Actions& out) {
    if (!isVoter(self_)) return;
    std::size_t whole = 0;
    Term newest = 0, promised = 0;
    const ReceivedResponse* leader = nullptr;
    for (const auto& [name, a] : recoveryResponses_) {
        if (a.response.status != RecoveryStatus::normal || !isVoter(name) || name == self_) continue;
        ++whole;
        promised = std::max(promised, a.response.promisedTerm);
        newest = std::max(newest, a.response.term);
    }
    for (const auto& [name, a] : recoveryResponses_)
        if (a.response.status == RecoveryStatus::normal && isVoter(name) && a.response.isLeader &&
            a.response.term == newest)
            leader = &a;
    if (whole < majority() || leader == nullptr) return;
    if (leaderMatchTerm_ != newest || leaderMatchIndex_ < leader->response.lastLogIndex ||
        currentTerm_ > newest)
        return;
    currentTerm_ = std::max(currentTerm_, promised);
    promisedTerm_ = std::max(promisedTerm_, currentTerm_);
    votedFor_ = kNoVote;
    role_ = Role::follower;
    lastLeaderContact_ = now;
    out.mustPersist = true;
    recoveryResponses_.clear();
    resetElectionTimer(now);
    out.events.push_back(
        fmt::format("raft: recovered up to entry {} in term {}", lastLogIndex(), currentTerm_));
}

}  // namespace beechpoint::raft
