/// The log of one voter or learner: what the snapshot covers, by its last index, term, digest and voters, and the
/// entries after it (Raft, sections 5.3 and 7).
///
/// Holds no commit index and applies nothing: RaftConsensus decides what may be appended, truncated or compacted.
/// Each entry carries a digest chained over all entries before it, so two logs whose digests are equal at an index
/// are equal up to it (the Log Matching Property, Raft, figure 3, checked by content in place of by term).
/// Owned by RaftConsensus; not thread-safe.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "raft/messages.hpp"

namespace beechpoint::raft {

/// Voters stand in entries and snapshots as names with a space between them.
[[nodiscard]] std::vector<std::string> splitNames(const std::string& names);
[[nodiscard]] std::string joinNames(const std::vector<std::string>& names);
[[nodiscard]] bool contains(const std::vector<std::string>& list, const std::string& name);

class Log {
public:
    /// An empty log of a group that begins with these voters.
    explicit Log(std::vector<std::string> firstVoters);

    [[nodiscard]] Index lastIncludedIndex() const { return lastIncludedIndex_; }
    [[nodiscard]] Term lastIncludedTerm() const { return lastIncludedTerm_; }
    [[nodiscard]] Digest lastIncludedDigest() const { return lastIncludedDigest_; }
    [[nodiscard]] const std::vector<std::string>& lastIncludedVoters() const { return lastIncludedVoters_; }
    [[nodiscard]] Index lastIndex() const { return lastIncludedIndex_ + records_.size(); }
    [[nodiscard]] Term lastTerm() const { return termAt(lastIndex()); }
    /// Entries after the snapshot.
    [[nodiscard]] std::size_t size() const { return records_.size(); }
    /// 0 where the log does not hold the index.
    [[nodiscard]] Term termAt(Index index) const;
    [[nodiscard]] Digest digestAt(Index index) const;
    /// lastIncludedIndex() < index <= lastIndex()
    [[nodiscard]] const Entry& entry(Index index) const { return record(index).entry; }
    [[nodiscard]] std::vector<Entry> entries() const;

    /// The newest voters in the log, committed or not (Raft thesis, 4.1).
    [[nodiscard]] const std::vector<std::string>& voters() const { return voters_; }
    /// The voters as they are after the entry at `index`.
    [[nodiscard]] std::vector<std::string> votersAt(Index index) const;

    /// Whether a log that ends so is at least as up-to-date as this one: the Election Restriction (Raft, 5.4.1).
    [[nodiscard]] bool isUpToDate(Index lastLogIndex, Term lastLogTerm) const;

    void append(Entry entry);
    /// Removes the entry at `index` and all after it; the voters become those of what is left.
    void truncateFrom(Index index);
    /// Drops the entries up to `index`, which a snapshot covers from now on.
    void compactTo(Index index);
    /// Drops all entries: the log begins after a snapshot up to `index`.
    void resetTo(Index index, Term term, Digest digest, std::vector<std::string> voters);

private:
    struct Record {
        Entry entry;
        Digest digest = 0;
    };
    [[nodiscard]] const Record& record(Index index) const { return records_[index - lastIncludedIndex_ - 1]; }

    Index lastIncludedIndex_ = 0;
    Term lastIncludedTerm_ = 0;
    Digest lastIncludedDigest_ = 0;
    std::vector<std::string> lastIncludedVoters_;
    std::vector<std::string> voters_;
    std::deque<Record> records_;
};

}  // namespace beechpoint::raft
