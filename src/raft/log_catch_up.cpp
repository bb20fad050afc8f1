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
void RaftConsensus::cut() {
    if (log_.size() <= options_.mostEntries) return;
    if (point_.index > base_) {
        baseTerm_ = termAt(point_.index), baseDigest_ = digestAt(point_.index);
        while (base_ < point_.index) {
            if (log_.front().entry.kind == Kind::voters) baseVoters_ = splitNames(log_.front().entry.data);
            log_.pop_front();
            ++base_;
        }
        saved_ = std::move(point_.saved);
    }
    if (applied_ <= base_) return;
    std::vector<std::string> then = baseVoters_;
    for (Index i = base_ + 1; i <= applied_; ++i)
        if (at(i).kind == Kind::voters) then = splitNames(at(i).data);
    point_ = {applied_, joinNames(then) + "\n" + machine_.save()};
}

void RaftConsensus::sendSnapshotChunk(const std::string& to, std::uint32_t offset, Actions& out) {
    if (offset > saved_.size()) return;
    SnapshotChunk p{term_,
                    base_,
                    baseTerm_,
                    baseDigest_,
                    XXH3_64bits(saved_.data(), saved_.size()),
                    offset,
                    static_cast<std::uint32_t>(saved_.size()),
                    saved_.substr(offset, kSnapshotChunkBytes)};
    send(to, std::move(p), out);
}

void RaftConsensus::on(Millis now, const Message& message, const SnapshotChunk& body, Actions& out) {
    if (number_ == 0 || role_ == Role::leader || body.total > (1U << 24) || body.offset > body.total) return;
    if (body.index <= commit_)
        return send(message.from, SnapshotChunkReply{term_, body.index, body.total}, out);
    if (incoming_.index != body.index || incoming_.digest != body.digest || incoming_.sum != body.sum)
        incoming_ = {body.index, body.digest, body.sum, ""};
    if (body.offset == incoming_.bytes.size() && body.offset + body.bytes.size() <= body.total)
        incoming_.bytes += body.bytes;
    if (incoming_.bytes.size() == body.total) {
        if (XXH3_64bits(incoming_.bytes.data(), incoming_.bytes.size()) == body.sum) install(now, body, out);
        const bool done = commit_ >= body.index;
        incoming_ = {};
        return send(message.from, SnapshotChunkReply{term_, body.index, done ? body.total : 0}, out);
    }
    send(message.from,
         SnapshotChunkReply{term_, body.index, static_cast<std::uint32_t>(incoming_.bytes.size())}, out);
}

// The first line of what is saved names the voters at that point; the rest is the machine's.
void RaftConsensus::install(Millis now, const SnapshotChunk& body, Actions& out) {
    // A snapshot that comes late may stand for less than this log holds. What follows in the log was acknowledged and may
    // be settled by that: it stays. That the entries up to the snapshot's are settled is all that is new.
    if (body.index <= last() && digestAt(body.index) == body.digest) {
        commit_ = body.index;
        applySettled(out);
        return;
    }
    const auto line = incoming_.bytes.find('\n');
    // It may be a newer version's: this member stays where it is, and the process goes on.
    if (line == std::string::npos || !machine_.load(incoming_.bytes.substr(line + 1))) {
        out.notes.push_back(fmt::format("ledger: a snapshot to entry {} can't be read here", body.index));
        return;
    }
    baseVoters_ = splitNames(incoming_.bytes.substr(0, line));
    saved_ = incoming_.bytes;
    log_.clear();
    base_ = body.index;
    baseTerm_ = body.indexTerm;
    baseDigest_ = body.digest;
    commit_ = applied_ = base_;
    matched_ = std::min(matched_, base_);
    point_ = {};
    setVoters();
    ++counters_.snapshots;
    out.keep = true;
    out.notes.push_back(fmt::format("ledger: caught up by a snapshot to entry {}", base_));
    roleByVoters(now, out);
}

void RaftConsensus::on(Millis now, const Message& message, const SnapshotChunkReply& body, Actions& out) {
    const auto f = followers_.find(message.from);
    if (leads() && f != followers_.end()) {
        if (body.index != base_) {
            f->second.offset = 0;
            return;
        }
        if (body.offset != 0 && body.offset <= f->second.offset)
            return;  // said again: the piece after it is on its way
        f->second.offset = body.offset;
        if (body.offset >= saved_.size()) {
            f->second.next = std::max(f->second.next, base_ + 1);
            f->second.offset = 0;
            return sendTo(now, message.from, out, true);
        }
    }
    if (body.index == base_ && body.offset < saved_.size()) sendSnapshotChunk(message.from, body.offset, out);
}

void RaftConsensus::on(Millis, const Message& message, const Pull& body, Actions& out) {
    if (!votes() || (message.number != 0 && message.number != number_)) return;
    if (body.last < base_) return sendSnapshotChunk(message.from, 0, out);
    Index from = std::min(body.last, commit_);
    Tail t{from, digestAt(from), commit_, false, {}};
    if (from >= commit_) return send(message.from, t, out);
    for (std::size_t i = 0; i < options_.window && from < commit_; ++i, ++from) {
        t.prev = from, t.prevDigest = digestAt(from), t.holds = true, t.entry = at(from + 1);
        send(message.from, t, out);
    }
}

void RaftConsensus::on(Millis now, const Message&, const Tail& body, Actions& out) {
    if (role_ != Role::learner) return;
    leader_.clear();
    // Entries of a time as a voter that were never settled are replaced where they differ, and stay where they don't.
    if (!take(body.prev, body.prevDigest, body.holds, body.entry, out)) return;
    heard_ = now;
    const Index settled = std::min({body.commit, body.prev + (body.holds ? 1 : 0), last()});
    if (settled > commit_) {
        commit_ = settled;
        applySettled(out);
        if (commit_ < body.commit) askAt_ = std::min(askAt_, now + kNext * (1 + draw_()));
    }
    roleByVoters(now, out);
}

}  // namespace beechpoint::raft
