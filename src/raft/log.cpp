// The log: entries with their chained digests, what is appended, cut off and applied.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "raft/raft_consensus.hpp"
#include "raft/raft_consensus_detail.hpp"

namespace beechpoint::raft {

Term RaftConsensus::termAt(Index index) const {
    if (index == base_) return baseTerm_;
    return index < base_ || index > last() ? 0 : at(index).term;
}

Digest RaftConsensus::digestAt(Index index) const {
    if (index == base_) return baseDigest_;
    return index < base_ || index > last() ? 0 : log_[index - base_ - 1].digest;
}

void RaftConsensus::append(Entry entry) {
    const Digest digest = chainDigest(digestAt(last()), entry);
    if (entry.kind == Kind::voters) voters_ = splitNames(entry.data);
    log_.push_back({std::move(entry), digest});
}

void RaftConsensus::cutFrom(Index index) {
    while (last() >= index && !log_.empty()) log_.pop_back();
    early_.clear();
    matched_ = std::min(matched_, last());  // what is gone here is settled here no more, whatever was equal
    setVoters();
}

bool RaftConsensus::upToDate(Index last, Term lastTerm) const {
    const Term own = termAt(this->last());
    return lastTerm > own || (lastTerm == own && last >= this->last());
}

bool RaftConsensus::take(Index prev, Digest prevDigest, bool holds, const Entry& entry, Actions& out) {
    if (prev < base_) return holds ? prev + 1 <= base_ : true;  // settled here long ago
    if (prev > last() || digestAt(prev) != prevDigest) {
        // What is settled can't differ while the rules hold: a damaged copy, or an old folder put back.
        if (prev <= commit_ && prev <= last()) {
            ++counters_.conflicts;
            out.notes.push_back(fmt::format("ledger: this copy differs at settled entry {}", prev));
        }
        return false;
    }
    if (!holds) return true;
    const Index index = prev + 1;
    if (index <= last()) {
        if (at(index) == entry) return true;
        if (index <= commit_) {
            ++counters_.conflicts;
            return false;
        }
        cutFrom(index);
    }
    append(entry);
    out.keep = true;
    return true;
}

void RaftConsensus::applySettled(Actions& out) {
    while (applied_ < commit_) {
        const Entry& e = at(++applied_);
        if (e.kind == Kind::command) machine_.apply(applied_, e.term, e.data);
    }
    if (log_.size() > options_.mostEntries) cut(), out.keep = true;
}

}  // namespace beechpoint::raft
