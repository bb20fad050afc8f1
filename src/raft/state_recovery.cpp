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

void RaftConsensus::joins(std::uint64_t number) {
    number_ = number;
    if (number != 0) machine_.begin(number);
}

void RaftConsensus::askState(Millis now, Actions& out) {
    askAt_ = now + kAsk * (0.8 + 0.4 * draw_());
    if (!options_.safeguards.recovery && number_ != 0) {
        role_ = Role::follower;
        return armElection(now);
    }
    std::set<std::string> ask(voters_.begin(), voters_.end());
    ask.insert(firstVoters_.begin(), firstVoters_.end());
    if (founding_ != 0 && now > foundUntil_) founding_ = 0;
    for (const std::string& name : ask) send(name, StateRequest{nonce_}, out);
    if (role_ == Role::recovering) tryRecover(now, out);
}

void RaftConsensus::on(Millis, const Message& message, const StateRequest& body, Actions& out) {
    StateReply r;
    r.nonce = body.nonce;
    r.standing = role_ == Role::empty && founding_ == 0 ? Standing::empty
                 : votes()                              ? Standing::normal
                                                        : Standing::recovering;
    r.term = term_, r.promised = std::max(promised_, term_);
    r.leads = leads(), r.last = last(), r.number = number_, r.voter = isVoter(message.from);
    if (role_ == Role::learner && number_ == 0) r.standing = Standing::empty;
    send(message.from, r, out);
    if (const auto f = foundedAt_.find(message.from);
        f != foundedAt_.end() && f->second == message.processIncarnation)
        send(message.from, Found{number_, message.processIncarnation}, out);  // the first was lost
}

void RaftConsensus::on(Millis now, const Message& message, const StateReply& body, Actions& out) {
    if (body.nonce != nonce_) return;
    if (role_ == Role::learner && number_ == 0) {
        joins(body.number);
        return;
    }
    if (role_ != Role::empty && role_ != Role::recovering) return;
    if (body.number != 0 && role_ == Role::empty) {
        joins(body.number);
        role_ = Role::recovering;
        founding_ = 0;
        out.notes.push_back("ledger: others have a state; this member asks for it before it votes");
    }
    if (body.number != number_) return;
    answers_[message.from] = {body, message.processIncarnation};
    if (role_ == Role::recovering && body.leads && !body.voter) {  // taken out while it was away
        role_ = Role::learner;
        askAt_ = now;
        return;
    }
    if (role_ == Role::recovering) return tryRecover(now, out);
    if (founding_ == 0) return;
    for (const std::string& name : firstVoters_) {
        if (name == self_) continue;
        const auto a = answers_.find(name);
        if (a == answers_.end() || a->second.reply.standing != Standing::empty) return;
    }
    joins(founding_);
    role_ = Role::follower;
    out.keep = true;
    for (const std::string& name : firstVoters_)
        if (name != self_) {
            foundedAt_[name] = answers_[name].processIncarnation;
            send(name, Found{number_, answers_[name].processIncarnation}, out);
        }
    answers_.clear();
    armElection(now);
    out.notes.push_back(fmt::format("ledger: group founded under number {}", number_));
}

bool RaftConsensus::found(Millis now, std::uint64_t number, Actions& out) {
    if (role_ != Role::empty || number == 0) return false;
    founding_ = number;
    foundUntil_ = now + kFounding;
    nonce_ = draw_.bits();  // answers from before this call don't count: another may have called since
    answers_.clear();
    askState(now, out);
    if (firstVoters_.size() == 1) {
        joins(number);
        role_ = Role::follower;
        out.keep = true;
    }
    return true;
}

void RaftConsensus::on(Millis now, const Message&, const Found& body, Actions& out) {
    if (body.processIncarnation != processIncarnation_ || body.number == 0 ||
        (role_ != Role::empty && role_ != Role::recovering))
        return;
    if (number_ != 0 && number_ != body.number) return;
    if (last() > 0 && !isVoter(self_)) return;
    joins(body.number);
    role_ = Role::follower;
    out.keep = true;
    armElection(now);
    out.notes.push_back(fmt::format("ledger: group founded under number {}", number_));
}

void RaftConsensus::tryRecover(Millis now, Actions& out) {
    if (!isVoter(self_)) return;
    std::size_t whole = 0;
    Term newest = 0, promised = 0;
    const Answer* leader = nullptr;
    for (const auto& [name, a] : answers_) {
        if (a.reply.standing != Standing::normal || !isVoter(name) || name == self_) continue;
        ++whole;
        promised = std::max(promised, a.reply.promised);
        newest = std::max(newest, a.reply.term);
    }
    for (const auto& [name, a] : answers_)
        if (a.reply.standing == Standing::normal && isVoter(name) && a.reply.leads && a.reply.term == newest)
            leader = &a;
    if (whole < majority() || leader == nullptr) return;
    if (matchedTerm_ != newest || matched_ < leader->reply.last || term_ > newest) return;
    term_ = std::max(term_, promised);
    promised_ = std::max(promised_, term_);
    vote_ = kNoVote;
    role_ = Role::follower;
    heard_ = now;
    out.keep = true;
    answers_.clear();
    armElection(now);
    out.notes.push_back(fmt::format("ledger: recovered up to entry {} in term {}", last(), term_));
}

}  // namespace beechpoint::raft
