// What the parts of the ledger share: names of voters as text, the digest of a log, and how a message is sent.
// Private to src/raft/ledger*.cpp.
#pragma once

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "raft/raft_consensus.hpp"

namespace beechpoint::raft {

// Voters stand in entries and snapshots as names with a space between them.
inline std::vector<std::string> splitNames(const std::string& names) {
    std::istringstream in(names);
    std::vector<std::string> list;
    for (std::string name; in >> name;) list.push_back(name);
    return list;
}

inline std::string joinNames(const std::vector<std::string>& names) {
    return fmt::format("{}", fmt::join(names, " "));
}

inline bool contains(const std::vector<std::string>& list, const std::string& name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

// Digest of a log up to and with `entry`, from that of the log before it.
inline Digest chainDigest(Digest before, const Entry& entry) {
    const std::string head = fmt::format("{:016x}.{}.{}.", before, entry.term, static_cast<int>(entry.kind));
    const Digest seed = XXH3_64bits(head.data(), head.size());
    return XXH3_64bits_withSeed(entry.data.data(), entry.data.size(), seed);
}

template <class T>
void RaftConsensus::send(const std::string& to, T body, Actions& out) {
    if (to != self_) out.send.push_back({self_, to, processIncarnation_, groupNumber_, std::move(body)});
}

template <class T>
void RaftConsensus::sendVoters(const T& body, Actions& out) {
    for (const std::string& name : voters_) send(name, body, out);
}

}  // namespace beechpoint::raft
