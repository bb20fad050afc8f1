// The log: entries with their chained digests, what is appended, cut off and applied.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

Term RaftConsensus::termAt(Index index) const {
    if (index == lastIncludedIndex_) return lastIncludedTerm_;
    return index < lastIncludedIndex_ || index > lastLogIndex() ? 0 : at(index).term;
}

Digest RaftConsensus::digestAt(Index index) const {
    if (index == lastIncludedIndex_) return lastIncludedDigest_;
    return index < lastIncludedIndex_ || index > lastLogIndex() ? 0
                                                                : log_[index - lastIncludedIndex_ - 1].digest;
}

void RaftConsensus::append(Entry entry) {
    const Digest digest = chainDigest(digestAt(lastLogIndex()), entry);
    if (entry.kind == EntryKind::voters) voters_ = splitNames(entry.data);
    log_.push_back({std::move(entry), digest});
}

void RaftConsensus::truncateFrom(Index index) {
    while (lastLogIndex() >= index && !log_.empty()) log_.pop_back();
    outOfOrder_.clear();
    leaderMatchIndex_ = std::min(
        leaderMatchIndex_, lastLogIndex());  // what is gone here is settled here no more, whatever was equal
    updateVoters();
}

bool RaftConsensus::upToDate(Index last, Term lastTerm) const {
    const Term own = termAt(this->lastLogIndex());
    return lastTerm > own || (lastTerm == own && last >= this->lastLogIndex());
}

bool RaftConsensus::appendIfMatching(Index prev, Digest prevDigest, bool holds, const Entry& entry,
                                     Actions& out) {
    if (prev < lastIncludedIndex_)
        return holds ? prev + 1 <= lastIncludedIndex_ : true;  // settled here long ago
    if (prev > lastLogIndex() || digestAt(prev) != prevDigest) {
        // What is settled can't differ while the rules hold: a damaged copy, or an old folder put back.
        if (prev <= commitIndex_ && prev <= lastLogIndex()) {
            ++counters_.conflicts;
            out.events.push_back(fmt::format("raft: this log differs at committed entry {}", prev));
        }
        return false;
    }
    if (!holds) return true;
    const Index index = prev + 1;
    if (index <= lastLogIndex()) {
        if (at(index) == entry) return true;
        if (index <= commitIndex_) {
            ++counters_.conflicts;
            return false;
        }
        truncateFrom(index);
    }
    append(entry);
    out.mustPersist = true;
    return true;
}

void RaftConsensus::applyCommitted(Actions& out) {
    while (lastApplied_ < commitIndex_) {
        const Entry& e = at(++lastApplied_);
        if (e.kind == EntryKind::command) machine_.apply(lastApplied_, e.term, e.data);
    }
    if (log_.size() > options_.maxLogEntries) compactLog(), out.mustPersist = true;
}

}  // namespace beechpoint::raft
