// Replication: a leader's proposals, heartbeats, commits and proofs that it leads; what a follower takes of them.
#include <fmt/format.h>

#include <algorithm>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

namespace {
constexpr std::size_t kEarly = 32;    // entries kept that came before their turn
constexpr std::uint64_t kSilent = 3;  // rounds without an answer: from then on one message a round
}  // namespace

std::optional<Index> RaftConsensus::propose(Millis now, const std::string& data, Actions& out) {
    if (!leads() || data.size() > kMaxEntryBytes) return std::nullopt;
    append({term_, Kind::command, data});
    out.keep = true;
    const Index index = last();
    for (const std::string& name : voters_)
        if (name != self_) sendTo(now, name, out, false);
    settle(now, out);
    return index;
}

// With the next signs, a heartbeat off at the most: one round proves it for all who ask meanwhile, however many they are.
void RaftConsensus::confirm(Millis, std::uint64_t token, Actions&) {
    if (leads()) waiting_[round_ + 1].push_back(token);
}

void RaftConsensus::sendTo(Millis, const std::string& name, Actions& out, bool sign) {
    Follower& f = followers_[name];
    if (f.next <= base_) {
        if (sign) {
            send(name, Append{term_, 0, 0, 0, round_, false, {}}, out);
            sendSnapshotChunk(name, f.offset, out);
        }
        return;
    }
    const auto one = [&] {
        Append a{term_, f.next - 1, digestAt(f.next - 1), commit_, round_, f.next <= last(), {}};
        if (a.holds) a.entry = at(f.next);
        send(name, a, out);
        if (a.holds && !f.probing) ++f.next;
    };
    if (sign) one();
    while (!f.probing && f.next <= last() && f.next <= f.has + options_.window) one();
}

void RaftConsensus::signs(Millis now, Actions& out) {
    ++round_;
    signsAt_ = now + options_.heartbeat;
    for (auto it = followers_.begin(); it != followers_.end();) {
        const std::string& name = it->first;
        Follower& f = it->second;
        if (!isVoter(name) && f.next > last()) {  // taken out, and has been told
            it = followers_.erase(it);
            continue;
        }
        // On its way since the signs before, and nothing of it has come: lost. Who answers nothing is not sent a window each time.
        if (!f.probing && f.next > f.has + 1 && f.has == f.hadAtSign) f.next = f.has + 1;
        if (f.round + kSilent < round_) f.probing = true, f.next = std::min(f.next, last() + 1);
        f.hadAtSign = f.has;
        if (name != self_) sendTo(now, name, out, true);
        ++it;
    }
    checkConfirmed(out);
}

void RaftConsensus::checkConfirmed(Actions& out) {
    while (!waiting_.empty()) {
        const std::uint64_t round = waiting_.begin()->first;
        std::size_t count = 0;
        for (const std::string& name : voters_)
            count += name == self_ ? round_ >= round : followers_[name].round >= round;
        if (count < majority()) return;
        for (const std::uint64_t token : waiting_.begin()->second) out.confirmed.push_back(token);
        waiting_.erase(waiting_.begin());
    }
}

void RaftConsensus::settle(Millis now, Actions& out) {
    for (Index n = last(); n > commit_; --n) {
        if (options_.safeguards.ownTermCommit && termAt(n) != term_) break;
        std::size_t count = 0;
        for (const std::string& name : voters_) count += name == self_ ? 1 : followers_[name].match >= n;
        if (count < majority()) continue;
        commit_ = n;
        applySettled(out);
        signsAt_ = now;  // others may apply it too
        if (!isVoter(self_)) follow(now, "taken out of the voters", out);
        return;
    }
}

void RaftConsensus::on(Millis now, const Message& message, const Append& body, Actions& out) {
    if (number_ == 0) return;  // which group it is is told by answers to own questions alone
    AppendReply reply{term_, false, last(), body.round, votes()};
    if (body.term < term_) return send(message.from, reply, out);
    if (body.term > term_) {
        newTerm(body.term, out);
        if (role_ >= Role::follower) follow(now, "a newer term's leader", out);
    }
    if (role_ == Role::leader) return;  // its own term has no other leader
    if (role_ >= Role::follower) {
        if (role_ != Role::follower) follow(now, "a leader is heard", out);
        armElection(now);
    }
    leader_ = message.from;
    heard_ = now;
    reply.term = term_;
    reply.ok = take(body.prev, body.prevDigest, body.holds, body.entry, out);
    // Datagrams overtake each other: what came too early waits here, and is taken once what it follows is there.
    if (!reply.ok && body.holds && body.prev > last() && body.prev <= last() + kEarly)
        early_.emplace(body.prev, body);
    Index taken = body.prev + (body.holds ? 1 : 0);
    for (auto e = early_.begin(); reply.ok && e != early_.end() && e->first <= taken; e = early_.erase(e))
        if (e->first == taken && take(e->first, e->second.prevDigest, true, e->second.entry, out)) ++taken;
    reply.match = reply.ok ? std::max(taken, std::min(base_, last()))
                           : std::min(last(), body.prev > 0 ? body.prev - 1 : 0);
    if (reply.ok) {
        if (matchedTerm_ != body.term) matched_ = 0, matchedTerm_ = body.term;
        matched_ = std::max(matched_, reply.match);
        const Index settled = std::min(body.commit, matched_);
        if (settled > commit_) commit_ = settled, applySettled(out);
        roleByVoters(now, out);
        if (role_ == Role::recovering) tryRecover(now, out);
    } else if (body.prev <= commit_ && body.prev > 0 && reply.match < commit_) {
        reply.match = commit_;
    }
    reply.counts = votes();
    send(message.from, reply, out);
}

void RaftConsensus::on(Millis now, const Message& message, const AppendReply& body, Actions& out) {
    if (body.term > term_ && role_ >= Role::follower && isVoter(message.from)) {
        newTerm(body.term, out);
        return follow(now, "a newer term", out);
    }
    if (!leads() || body.term != term_) return;
    const auto found = followers_.find(message.from);
    if (found == followers_.end()) return;
    Follower& f = found->second;
    f.counts = body.counts;
    if (body.counts) {
        f.heard = now;
        f.round = std::max(f.round, body.round);
    }
    if (body.ok) {
        f.probing = false;
        f.has = std::max(f.has, body.match);
        f.next = std::max(f.next, body.match + 1);
        if (body.counts) f.match = std::max(f.match, body.match);
        if (body.counts) settle(now, out);
        if (leads()) sendTo(now, message.from, out, false);
    } else if ((f.probing || body.match < f.has) && body.match + 1 < f.next) {
        // It lacks what this one thought it had. One that lacks only what is still on its way is not sent it again.
        f.next = std::max<Index>(body.match + 1, 1);
        f.has = std::min(f.has, body.match);
        f.match = std::min(f.match, body.match);
        f.probing = true;
        f.offset = 0;
        sendTo(now, message.from, out, true);
    }
    if (leads()) checkConfirmed(out);
}

}  // namespace beechpoint::raft
