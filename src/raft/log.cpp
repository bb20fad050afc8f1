#include "raft/log.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace beechpoint::raft {

namespace {

// Digest of a log up to and with `entry`, from that of the log before it.
Digest chainDigest(Digest before, const Entry& entry) {
    const std::string head = fmt::format("{:016x}.{}.{}.", before, entry.term, static_cast<int>(entry.kind));
    const Digest seed = XXH3_64bits(head.data(), head.size());
    return XXH3_64bits_withSeed(entry.data.data(), entry.data.size(), seed);
}

}  // namespace

std::vector<std::string> splitNames(const std::string& names) {
    std::istringstream in(names);
    std::vector<std::string> list;
    for (std::string name; in >> name;) list.push_back(name);
    return list;
}

std::string joinNames(const std::vector<std::string>& names) {
    return fmt::format("{}", fmt::join(names, " "));
}

bool contains(const std::vector<std::string>& list, const std::string& name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

Log::Log(std::vector<std::string> firstVoters)
    : lastIncludedVoters_(std::move(firstVoters)), voters_(lastIncludedVoters_) {}

Term Log::termAt(Index index) const {
    if (index == lastIncludedIndex_) return lastIncludedTerm_;
    if (index < lastIncludedIndex_ || index > lastIndex()) return 0;
    return record(index).entry.term;
}

Digest Log::digestAt(Index index) const {
    if (index == lastIncludedIndex_) return lastIncludedDigest_;
    if (index < lastIncludedIndex_ || index > lastIndex()) return 0;
    return record(index).digest;
}

std::vector<Entry> Log::entries() const {
    std::vector<Entry> all;
    for (const Record& record : records_) all.push_back(record.entry);
    return all;
}

std::vector<std::string> Log::votersAt(Index index) const {
    for (Index at = index; at > lastIncludedIndex_; --at)
        if (entry(at).kind == EntryKind::voters) return splitNames(entry(at).data);
    return lastIncludedVoters_;
}

bool Log::isUpToDate(Index lastLogIndex, Term lastLogTerm) const {
    if (lastLogTerm != lastTerm()) return lastLogTerm > lastTerm();
    return lastLogIndex >= lastIndex();
}

void Log::append(Entry entry) {
    const Digest digest = chainDigest(digestAt(lastIndex()), entry);
    if (entry.kind == EntryKind::voters) voters_ = splitNames(entry.data);
    records_.push_back({std::move(entry), digest});
}

void Log::truncateFrom(Index index) {
    while (lastIndex() >= index && !records_.empty()) records_.pop_back();
    voters_ = votersAt(lastIndex());
}

void Log::compactTo(Index index) {
    lastIncludedTerm_ = termAt(index);
    lastIncludedDigest_ = digestAt(index);
    lastIncludedVoters_ = votersAt(index);
    while (lastIncludedIndex_ < index) {
        records_.pop_front();
        ++lastIncludedIndex_;
    }
}

void Log::resetTo(Index index, Term term, Digest digest, std::vector<std::string> voters) {
    records_.clear();
    lastIncludedIndex_ = index;
    lastIncludedTerm_ = term;
    lastIncludedDigest_ = digest;
    lastIncludedVoters_ = std::move(voters);
    voters_ = lastIncludedVoters_;
}

}  // namespace beechpoint::raft
