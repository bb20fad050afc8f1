// The fields of the group's messages as tuples, by which the tests compare messages.
#pragma once

#include <tuple>
#include <variant>
#include <vector>

#include "gossip/membership.hpp"
#include "health_check/host_prober.hpp"
#include "lease_sessions/messages.hpp"
#include "raft/messages.hpp"

namespace beechpoint::raft {

inline auto members(const PreVote& x) { return std::tie(x.term, x.lastLogIndex, x.lastLogTerm); }
inline auto members(const PreVoteReply& x) { return std::tie(x.term, x.voteGranted, x.newestTerm); }
inline auto members(const RequestVote& x) { return std::tie(x.term, x.lastLogIndex, x.lastLogTerm); }
inline auto members(const RequestVoteReply& x) { return std::tie(x.term, x.voteGranted); }
inline auto members(const AppendEntries& x) {
    return std::tie(x.term, x.prevLogIndex, x.prevLogDigest, x.leaderCommit, x.heartbeatRound, x.hasEntry,
                    x.entry);
}
inline auto members(const AppendEntriesReply& x) {
    return std::tie(x.term, x.success, x.matchIndex, x.heartbeatRound, x.canVote);
}
inline auto members(const RecoveryRequest& x) { return std::tie(x.nonce); }
inline auto members(const RecoveryResponse& x) {
    return std::tie(x.nonce, x.status, x.term, x.promisedTerm, x.isLeader, x.lastLogIndex, x.groupNumber,
                    x.askerIsVoter);
}
inline auto members(const FoundGroup& x) { return std::tie(x.groupNumber, x.processIncarnation); }
inline auto members(const SnapshotChunk& x) {
    return std::tie(x.term, x.lastIncludedIndex, x.lastIncludedTerm, x.lastIncludedDigest, x.checksum,
                    x.offset, x.totalBytes, x.bytes);
}
inline auto members(const SnapshotChunkReply& x) {
    return std::tie(x.term, x.lastIncludedIndex, x.nextOffset);
}
inline auto members(const CatchUpRequest& x) { return std::tie(x.commitIndex, x.commitDigest); }
inline auto members(const CatchUpReply& x) {
    return std::tie(x.prevLogIndex, x.prevLogDigest, x.commitIndex, x.hasEntry, x.entry);
}

}  // namespace beechpoint::raft

namespace beechpoint::lease_sessions {

inline auto members(const Command& x) {
    return std::tie(x.op, x.member, x.processIncarnation, x.number, x.session, x.singletonRole,
                    x.fencingToken, x.to);
}
inline auto members(const CommandRequest& x) { return members(x.command); }
inline auto members(const CommandReply& x) { return std::tie(x.to, x.number, x.result, x.leader); }
inline auto members(const RenewRequest& x) { return std::tie(x.session, x.number); }
inline auto members(const RenewReply& x) {
    return std::tie(x.to, x.number, x.verdict, x.session, x.leader, x.leases);
}
inline auto members(const GrantNotice& x) {
    return std::tie(x.to, x.session, x.singletonRole, x.fencingToken);
}

}  // namespace beechpoint::lease_sessions

namespace beechpoint::gossip {

inline auto members(const Rumour& x) { return std::tie(x.member, x.presence, x.incarnation, x.suspectedBy); }
inline auto members(const std::vector<Rumour>& rumours) {
    std::vector<decltype(members(rumours.front()))> all;
    for (const Rumour& rumour : rumours) all.push_back(members(rumour));
    return all;
}
inline auto members(const Ping& x) { return std::tuple(x.number, members(x.rumours)); }
inline auto members(const PingRequest& x) { return std::tuple(x.number, x.target, members(x.rumours)); }
inline auto members(const Ack& x) { return std::tuple(x.number, members(x.rumours)); }
inline auto members(const Nack& x) { return std::tie(x.number); }

}  // namespace beechpoint::gossip

namespace beechpoint::health_check {

inline auto members(const HealthQuery& x) { return std::tie(x.host, x.number); }
inline auto members(const HealthReport& x) { return std::tie(x.host, x.number, x.reachable, x.ageMs); }

}  // namespace beechpoint::health_check

namespace beechpoint::golden {

// Whether two messages are of the same kind, with the same fields.
template <class... T>
bool sameMessage(const std::variant<T...>& a, const std::variant<T...>& b) {
    if (a.index() != b.index()) return false;
    return std::visit([&]<class U>(const U& value) { return members(value) == members(std::get<U>(b)); }, a);
}

}  // namespace beechpoint::golden
