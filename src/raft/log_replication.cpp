// Replication: a leader's proposals, heartbeats, commits and proofs that it leads; what a follower takes of them.
#include <fmt/format.h>

#include <algorithm>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

namespace {
constexpr std::size_t kMaxOutOfOrder = 32;        // entries buffered that came before their turn
constexpr std::uint64_t kUnresponsiveRounds = 3;  // without a reply: from then on one message a round
}  // namespace

std::optional<Index> RaftConsensus::propose(Millis now, const std::string& data, Actions& out) {
    if (!isLeader() || data.size() > kMaxEntryBytes) return std::nullopt;
    log_.append({currentTerm_, EntryKind::command, data});
    out.mustPersist = true;
    const Index index = lastLogIndex();
    for (const std::string& name : log_.voters())
        if (name != self_) replicateTo(now, name, out, false);
    advanceCommitIndex(now, out);
    return index;
}

// Proven by the next heartbeats, at most one interval away: one round serves all requests made meanwhile.
void RaftConsensus::confirmLeadership(Millis, std::uint64_t token, Actions&) {
    if (isLeader()) pendingConfirmations_[heartbeatRound_ + 1].push_back(token);
}

void RaftConsensus::replicateTo(Millis, const std::string& name, Actions& out, bool isHeartbeat) {
    Follower& f = followers_[name];
    if (f.nextIndex <= log_.lastIncludedIndex()) {
        if (isHeartbeat) {
            send(name, AppendEntries{currentTerm_, 0, 0, 0, heartbeatRound_, false, {}}, out);
            sendSnapshotChunk(name, f.snapshotOffset, out);
        }
        return;
    }
    const auto one = [&] {
        AppendEntries a{currentTerm_,
                        f.nextIndex - 1,
                        log_.digestAt(f.nextIndex - 1),
                        commitIndex_,
                        heartbeatRound_,
                        f.nextIndex <= lastLogIndex(),
                        {}};
        if (a.hasEntry) a.entry = log_.entry(f.nextIndex);
        send(name, a, out);
        if (a.hasEntry && !f.probing) ++f.nextIndex;
    };
    if (isHeartbeat) one();
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
        if (!isVoter(name) && f.nextIndex > lastLogIndex()) {  // removed, and has replicated that entry
            it = followers_.erase(it);
            continue;
        }
        // In flight since the heartbeat before, and none of it acknowledged: lost. An unresponsive one is not sent a window each time.
        if (!f.probing && f.nextIndex > f.replicatedIndex + 1 &&
            f.replicatedIndex == f.replicatedAtLastHeartbeat)
            f.nextIndex = f.replicatedIndex + 1;
        if (f.heartbeatRound + kUnresponsiveRounds < heartbeatRound_)
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
        for (const std::string& name : log_.voters())
            count += name == self_ ? heartbeatRound_ >= round : followers_[name].heartbeatRound >= round;
        if (count < majority()) return;
        for (const std::uint64_t token : pendingConfirmations_.begin()->second)
            out.confirmedTokens.push_back(token);
        pendingConfirmations_.erase(pendingConfirmations_.begin());
    }
}

void RaftConsensus::advanceCommitIndex(Millis now, Actions& out) {
    for (Index n = lastLogIndex(); n > commitIndex_; --n) {
        if (options_.safeguards.ownTermCommit && log_.termAt(n) != currentTerm_) break;
        std::size_t count = 0;
        for (const std::string& name : log_.voters())
            count += name == self_ ? 1 : followers_[name].matchIndex >= n;
        if (count < majority()) continue;
        commitIndex_ = n;
        applyCommitted(out);
        heartbeatDeadline_ = now;  // others may apply it too
        if (!isVoter(self_)) becomeFollower(now, "removed from the voters", out);
        return;
    }
}

void RaftConsensus::on(Millis now, const Message& message, const AppendEntries& body, Actions& out) {
    if (groupNumber_ == 0) return;  // a member learns its group by replies to its own requests alone
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
    // Datagrams overtake each other: what came too early is buffered, and appended once the entry it follows is there.
    if (!reply.success && body.hasEntry && body.prevLogIndex > lastLogIndex() &&
        body.prevLogIndex <= lastLogIndex() + kMaxOutOfOrder)
        outOfOrder_.emplace(body.prevLogIndex, body);
    Index taken = body.prevLogIndex + (body.hasEntry ? 1 : 0);
    for (auto e = outOfOrder_.begin(); reply.success && e != outOfOrder_.end() && e->first <= taken;
         e = outOfOrder_.erase(e))
        if (e->first == taken &&
            appendIfMatching(e->first, e->second.prevLogDigest, true, e->second.entry, out))
            ++taken;
    reply.matchIndex = reply.success
                           ? std::max(taken, std::min(log_.lastIncludedIndex(), lastLogIndex()))
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

void RaftConsensus::truncateFrom(Index index) {
    log_.truncateFrom(index);
    outOfOrder_.clear();
    // What was removed is not known to be equal to the leader's any more.
    leaderMatchIndex_ = std::min(leaderMatchIndex_, lastLogIndex());
}

bool RaftConsensus::appendIfMatching(Index prev, Digest prevDigest, bool holds, const Entry& entry,
                                     Actions& out) {
    if (prev < log_.lastIncludedIndex())
        return holds ? prev + 1 <= log_.lastIncludedIndex() : true;  // committed here long ago
    if (prev > lastLogIndex() || log_.digestAt(prev) != prevDigest) {
        // Committed entries can't differ (State Machine Safety): a corrupt log, or an old folder that was put back.
        if (prev <= commitIndex_ && prev <= lastLogIndex()) {
            ++counters_.conflicts;
            out.events.push_back(fmt::format("raft: this log differs at committed entry {}", prev));
        }
        return false;
    }
    if (!holds) return true;
    const Index index = prev + 1;
    if (index <= lastLogIndex()) {
        if (log_.entry(index) == entry) return true;
        if (index <= commitIndex_) {
            ++counters_.conflicts;
            return false;
        }
        truncateFrom(index);
    }
    log_.append(entry);
    out.mustPersist = true;
    return true;
}

void RaftConsensus::applyCommitted(Actions& out) {
    while (lastApplied_ < commitIndex_) {
        const Entry& e = log_.entry(++lastApplied_);
        if (e.kind == EntryKind::command) machine_.apply(lastApplied_, e.term, e.data);
    }
    if (log_.size() > options_.maxLogEntries) compactLog(), out.mustPersist = true;
}

}  // namespace beechpoint::raft
