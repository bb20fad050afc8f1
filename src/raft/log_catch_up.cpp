// Snapshots and catching up: where the log is cut, a snapshot sent in pieces, and a learner's questions.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

namespace {
constexpr Millis kNext = 60;  // a learner that is behind asks on after so long and as much again
}  // namespace

// Two steps, so that those a little behind still find their entries here: a point is marked, and the cut comes to
// it once as many again are settled.
void RaftConsensus::compactLog() {
    if (log_.size() <= options_.maxLogEntries) return;
    if (nextSnapshot_.index > log_.lastIncludedIndex()) {
        log_.compactTo(nextSnapshot_.index);
        snapshot_ = std::move(nextSnapshot_.snapshot);
    }
    if (lastApplied_ <= log_.lastIncludedIndex()) return;
    nextSnapshot_ = {lastApplied_, joinNames(log_.votersAt(lastApplied_)) + "\n" + machine_.save()};
}

void RaftConsensus::sendSnapshotChunk(const std::string& to, std::uint32_t offset, Actions& out) {
    if (offset > snapshot_.size()) return;
    SnapshotChunk p{currentTerm_,
                    log_.lastIncludedIndex(),
                    log_.lastIncludedTerm(),
                    log_.lastIncludedDigest(),
                    XXH3_64bits(snapshot_.data(), snapshot_.size()),
                    offset,
                    static_cast<std::uint32_t>(snapshot_.size()),
                    snapshot_.substr(offset, kSnapshotChunkBytes)};
    send(to, std::move(p), out);
}

void RaftConsensus::on(Millis now, const Message& message, const SnapshotChunk& body, Actions& out) {
    if (groupNumber_ == 0 || role_ == Role::leader || body.totalBytes > (1U << 24) ||
        body.offset > body.totalBytes)
        return;
    if (body.lastIncludedIndex <= commitIndex_)
        return send(message.from, SnapshotChunkReply{currentTerm_, body.lastIncludedIndex, body.totalBytes},
                    out);
    if (incomingSnapshot_.index != body.lastIncludedIndex ||
        incomingSnapshot_.digest != body.lastIncludedDigest || incomingSnapshot_.checksum != body.checksum)
        incomingSnapshot_ = {body.lastIncludedIndex, body.lastIncludedDigest, body.checksum, ""};
    if (body.offset == incomingSnapshot_.bytes.size() && body.offset + body.bytes.size() <= body.totalBytes)
        incomingSnapshot_.bytes += body.bytes;
    if (incomingSnapshot_.bytes.size() == body.totalBytes) {
        if (XXH3_64bits(incomingSnapshot_.bytes.data(), incomingSnapshot_.bytes.size()) == body.checksum)
            installSnapshot(now, body, out);
        const bool done = commitIndex_ >= body.lastIncludedIndex;
        incomingSnapshot_ = {};
        return send(message.from,
                    SnapshotChunkReply{currentTerm_, body.lastIncludedIndex, done ? body.totalBytes : 0},
                    out);
    }
    send(message.from,
         SnapshotChunkReply{currentTerm_, body.lastIncludedIndex,
                            static_cast<std::uint32_t>(incomingSnapshot_.bytes.size())},
         out);
}

// The first line of what is saved names the voters at that point; the rest is the machine's.
void RaftConsensus::installSnapshot(Millis now, const SnapshotChunk& body, Actions& out) {
    // A snapshot that comes late may stand for less than this log holds. What follows in the log was acknowledged and may
    // be settled by that: it stays. That the entries up to the snapshot's are settled is all that is new.
    if (body.lastIncludedIndex <= lastLogIndex() &&
        log_.digestAt(body.lastIncludedIndex) == body.lastIncludedDigest) {
        commitIndex_ = body.lastIncludedIndex;
        applyCommitted(out);
        return;
    }
    const auto line = incomingSnapshot_.bytes.find('\n');
    // It may be a newer version's: this member stays where it is, and the process goes on.
    if (line == std::string::npos || !machine_.load(incomingSnapshot_.bytes.substr(line + 1))) {
        out.events.push_back(
            fmt::format("raft: a snapshot up to entry {} can't be read here", body.lastIncludedIndex));
        return;
    }
    log_.resetTo(body.lastIncludedIndex, body.lastIncludedTerm, body.lastIncludedDigest,
                 splitNames(incomingSnapshot_.bytes.substr(0, line)));
    snapshot_ = incomingSnapshot_.bytes;
    commitIndex_ = lastApplied_ = log_.lastIncludedIndex();
    leaderMatchIndex_ = std::min(leaderMatchIndex_, log_.lastIncludedIndex());
    nextSnapshot_ = {};
    ++counters_.snapshotsInstalled;
    out.mustPersist = true;
    out.events.push_back(fmt::format("raft: installed a snapshot up to entry {}", log_.lastIncludedIndex()));
    updateRole(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const SnapshotChunkReply& body, Actions& out) {
    const auto f = followers_.find(message.from);
    if (isLeader() && f != followers_.end()) {
        if (body.lastIncludedIndex != log_.lastIncludedIndex()) {
            f->second.snapshotOffset = 0;
            return;
        }
        if (body.nextOffset != 0 && body.nextOffset <= f->second.snapshotOffset)
            return;  // said again: the piece after it is on its way
        f->second.snapshotOffset = body.nextOffset;
        if (body.nextOffset >= snapshot_.size()) {
            f->second.nextIndex = std::max(f->second.nextIndex, log_.lastIncludedIndex() + 1);
            f->second.snapshotOffset = 0;
            return replicateTo(now, message.from, out, true);
        }
    }
    if (body.lastIncludedIndex == log_.lastIncludedIndex() && body.nextOffset < snapshot_.size())
        sendSnapshotChunk(message.from, body.nextOffset, out);
}

void RaftConsensus::on(Millis, const Message& message, const CatchUpRequest& body, Actions& out) {
    if (!canVote() || (message.groupNumber != 0 && message.groupNumber != groupNumber_)) return;
    if (body.commitIndex < log_.lastIncludedIndex()) return sendSnapshotChunk(message.from, 0, out);
    Index from = std::min(body.commitIndex, commitIndex_);
    CatchUpReply t{from, log_.digestAt(from), commitIndex_, false, {}};
    if (from >= commitIndex_) return send(message.from, t, out);
    for (std::size_t i = 0; i < options_.maxInFlightEntries && from < commitIndex_; ++i, ++from) {
        t.prevLogIndex = from, t.prevLogDigest = log_.digestAt(from), t.hasEntry = true,
        t.entry = log_.entry(from + 1);
        send(message.from, t, out);
    }
}

void RaftConsensus::on(Millis now, const Message&, const CatchUpReply& body, Actions& out) {
    if (role_ != Role::learner) return;
    leader_.clear();
    // Entries of a time as a voter that were never settled are replaced where they differ, and stay where they don't.
    if (!appendIfMatching(body.prevLogIndex, body.prevLogDigest, body.hasEntry, body.entry, out)) return;
    lastLeaderContact_ = now;
    const Index settled =
        std::min({body.commitIndex, body.prevLogIndex + (body.hasEntry ? 1 : 0), lastLogIndex()});
    if (settled > commitIndex_) {
        commitIndex_ = settled;
        applyCommitted(out);
        if (commitIndex_ < body.commitIndex)
            requestDeadline_ = std::min(requestDeadline_, now + kNext * (1 + draw_()));
    }
    updateRole(now, out);
}

}  // namespace beechpoint::raft
