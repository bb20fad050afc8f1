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
    if (!isLeader() || data.size() > kMaxEntryBytes) return std::nullopt;
    append({currentTerm_, EntryKind::command, data});
    out.mustPersist = true;
    const Index index = lastLogIndex();
    for (const std::string& name : voters_)
        if (name != self_) replicateTo(now, name, out, false);
    advanceCommitIndex(now, out);
    return index;
}

// With the next signs, a heartbeat off at the most: one round proves it for all who ask meanwhile, however many they are.
void RaftConsensus::confirmLeadership(Millis, std::uint64_t token, Actions&) {
    if (isLeader()) pendingConfirmations_[heartbeatRound_ + 1].push_back(token);
}

void RaftConsensus::replicateTo(Millis, const std::string& name, Actions& out, bool sign) {
    Follower& f = followers_[name];
    if (f.nextIndex <= lastIncludedIndex_) {
        if (sign) {
            send(name, AppendEntries{currentTerm_, 0, 0, 0, heartbeatRound_, false, {}}, out);
            sendSnapshotChunk(name, f.snapshotOffset, out);
        }
        return;
    }
    const auto one = [&] {
        AppendEntries a{currentTerm_,
                        f.nextIndex - 1,
                        digestAt(f.nextIndex - 1),
                        commitIndex_,
                        heartbeatRound_,
                        f.nextIndex <= lastLogIndex(),
                        {}};
        if (a.hasEntry) a.entry = at(f.nextIndex);
        send(name, a, out);
        if (a.hasEntry && !f.probing) ++f.nextIndex;
    };
    if (sign) one();
    while (!f.probing && f.nextIndex <= lastLogIndex() &&
           f.nextIndex <= f.replicatedIndex + options_.maxInFlightEntries)
        one();
}

void RaftConsensus::sendHeartbeats(Millis now, Actions& out) {
    ++heartbeatRound_;
    heartbeatDeadline_ = now + options_.heartbeatInterval;
    for (auto it = followers_.begin(); it != followers_.end();) {
        const std::string& name = it->first;
        Follower& f = it->second;
        if (!isVoter(name) && f.nextIndex > lastLogIndex()) {  // taken out, and has been told
            it = followers_.erase(it);
            continue;
        }
        // On its way since the signs before, and nothing of it has come: lost. Who answers nothing is not sent a window each time.
        if (!f.probing && f.nextIndex > f.replicatedIndex + 1 &&
            f.replicatedIndex == f.replicatedAtLastHeartbeat)
            f.nextIndex = f.replicatedIndex + 1;
        if (f.heartbeatRound + kSilent < heartbeatRound_)
            f.probing = true, f.nextIndex = std::min(f.nextIndex, lastLogIndex() + 1);
        f.replicatedAtLastHeartbeat = f.replicatedIndex;
        if (name != self_) replicateTo(now, name, out, true);
        ++it;
    }
    reportConfirmedLeadership(out);
}

void RaftConsensus::reportConfirmedLeadership(Actions& out) {
    while (!pendingConfirmations_.empty()) {
        const std::uint64_t round = pendingConfirmations_.begin()->first;
        std::size_t count = 0;
        for (const std::string& name : voters_)
            count += name == self_ ? heartbeatRound_ >= round : followers_[name].heartbeatRound >= round;
        if (count < majority()) return;
        for (const std::uint64_t token : pendingConfirmations_.begin()->second)
            out.confirmedTokens.push_back(token);
        pendingConfirmations_.erase(pendingConfirmations_.begin());
    }
}

void RaftConsensus::advanceCommitIndex(Millis now, Actions& out) {
    for (Index n = lastLogIndex(); n > commitIndex_; --n) {
        if (options_.safeguards.ownTermCommit && termAt(n) != currentTerm_) break;
        std::size_t count = 0;
        for (const std::string& name : voters_) count += name == self_ ? 1 : followers_[name].matchIndex >= n;
        if (count < majority()) continue;
        commitIndex_ = n;
        applyCommitted(out);
        heartbeatDeadline_ = now;  // others may apply it too
        if (!isVoter(self_)) becomeFollower(now, "removed from the voters", out);
        return;
    }
}

void RaftConsensus::on(Millis now, const Message& message, const AppendEntries& body, Actions& out) {
    if (groupNumber_ == 0) return;  // which group it is is told by answers to own questions alone
    AppendEntriesReply reply{currentTerm_, false, lastLogIndex(), body.heartbeatRound, canVote()};
    if (body.term < currentTerm_) return send(message.from, reply, out);
    if (body.term > currentTerm_) {
        enterTerm(body.term, out);
        if (role_ >= Role::follower) becomeFollower(now, "heard the leader of a newer term", out);
    }
    if (role_ == Role::leader) return;  // its own term has no other leader
    if (role_ >= Role::follower) {
        if (role_ != Role::follower) becomeFollower(now, "heard the leader", out);
        resetElectionTimer(now);
    }
    leader_ = message.from;
    lastLeaderContact_ = now;
    reply.term = currentTerm_;
    reply.success = appendIfMatching(body.prevLogIndex, body.prevLogDigest, body.hasEntry, body.entry, out);
    // Datagrams overtake each other: what came too early waits here, and is taken once what it follows is there.
    if (!reply.success && body.hasEntry && body.prevLogIndex > lastLogIndex() &&
        body.prevLogIndex <= lastLogIndex() + kEarly)
        outOfOrder_.emplace(body.prevLogIndex, body);
    Index taken = body.prevLogIndex + (body.hasEntry ? 1 : 0);
    for (auto e = outOfOrder_.begin(); reply.success && e != outOfOrder_.end() && e->first <= taken;
         e = outOfOrder_.erase(e))
        if (e->first == taken &&
            appendIfMatching(e->first, e->second.prevLogDigest, true, e->second.entry, out))
            ++taken;
    reply.matchIndex = reply.success
                           ? std::max(taken, std::min(lastIncludedIndex_, lastLogIndex()))
                           : std::min(lastLogIndex(), body.prevLogIndex > 0 ? body.prevLogIndex - 1 : 0);
    if (reply.success) {
        if (leaderMatchTerm_ != body.term) leaderMatchIndex_ = 0, leaderMatchTerm_ = body.term;
        leaderMatchIndex_ = std::max(leaderMatchIndex_, reply.matchIndex);
        const Index settled = std::min(body.leaderCommit, leaderMatchIndex_);
        if (settled > commitIndex_) commitIndex_ = settled, applyCommitted(out);
        updateRole(now, out);
        if (role_ == Role::recovering) tryRecover(now, out);
    } else if (body.prevLogIndex <= commitIndex_ && body.prevLogIndex > 0 &&
               reply.matchIndex < commitIndex_) {
        reply.matchIndex = commitIndex_;
    }
    reply.canVote = canVote();
    send(message.from, reply, out);
}

void RaftConsensus::on(Millis now, const Message& message, const AppendEntriesReply& body, Actions& out) {
    if (body.term > currentTerm_ && role_ >= Role::follower && isVoter(message.from)) {
        enterTerm(body.term, out);
        return becomeFollower(now, "heard a newer term", out);
    }
    if (!isLeader() || body.term != currentTerm_) return;
    const auto found = followers_.find(message.from);
    if (found == followers_.end()) return;
    Follower& f = found->second;
    f.canVote = body.canVote;
    if (body.canVote) {
        f.lastContact = now;
        f.heartbeatRound = std::max(f.heartbeatRound, body.heartbeatRound);
    }
    if (body.success) {
        f.probing = false;
        f.replicatedIndex = std::max(f.replicatedIndex, body.matchIndex);
        f.nextIndex = std::max(f.nextIndex, body.matchIndex + 1);
        if (body.canVote) f.matchIndex = std::max(f.matchIndex, body.matchIndex);
        if (body.canVote) advanceCommitIndex(now, out);
        if (isLeader()) replicateTo(now, message.from, out, false);
    } else if ((f.probing || body.matchIndex < f.replicatedIndex) && body.matchIndex + 1 < f.nextIndex) {
        // It lacks what this one thought it had. One that lacks only what is still on its way is not sent it again.
        f.nextIndex = std::max<Index>(body.matchIndex + 1, 1);
        f.replicatedIndex = std::min(f.replicatedIndex, body.matchIndex);
        f.matchIndex = std::min(f.matchIndex, body.matchIndex);
        f.probing = true;
        f.snapshotOffset = 0;
        replicateTo(now, message.from, out, true);
    }
    if (isLeader()) reportConfirmedLeadership(out);
}

}  // namespace beechpoint::raft
