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

inline auto members(const PreVote& x) { return std::tie(x.term, x.last, x.lastTerm); }
inline auto members(const PreVoteReply& x) { return std::tie(x.term, x.yes, x.known); }
inline auto members(const VoteRequest& x) { return std::tie(x.term, x.last, x.lastTerm); }
inline auto members(const VoteReply& x) { return std::tie(x.term, x.yes); }
inline auto members(const Append& x) {
    return std::tie(x.term, x.prev, x.prevDigest, x.commit, x.round, x.holds, x.entry);
}
inline auto members(const AppendReply& x) { return std::tie(x.term, x.ok, x.match, x.round, x.counts); }
inline auto members(const StateRequest& x) { return std::tie(x.nonce); }
inline auto members(const StateReply& x) {
    return std::tie(x.nonce, x.standing, x.term, x.promised, x.leads, x.last, x.number, x.voter);
}
inline auto members(const Found& x) { return std::tie(x.number, x.processIncarnation); }
inline auto members(const SnapshotChunk& x) {
    return std::tie(x.term, x.index, x.indexTerm, x.digest, x.sum, x.offset, x.total, x.bytes);
}
inline auto members(const SnapshotChunkReply& x) { return std::tie(x.term, x.index, x.offset); }
inline auto members(const Pull& x) { return std::tie(x.last, x.digest); }
inline auto members(const Tail& x) { return std::tie(x.prev, x.prevDigest, x.commit, x.holds, x.entry); }

}  // namespace beechpoint::raft

namespace beechpoint::lease_sessions {

inline auto members(const Command& x) {
    return std::tie(x.op, x.member, x.processIncarnation, x.number, x.session, x.singletonRole,
                    x.fencingToken, x.to);
}
inline auto members(const Ask& x) { return members(x.command); }
inline auto members(const Answer& x) { return std::tie(x.to, x.number, x.result, x.leader); }
inline auto members(const Renew& x) { return std::tie(x.session, x.number); }
inline auto members(const Renewed& x) {
    return std::tie(x.to, x.number, x.verdict, x.session, x.leader, x.held);
}
inline auto members(const Granted& x) { return std::tie(x.to, x.session, x.singletonRole, x.fencingToken); }

}  // namespace beechpoint::lease_sessions

namespace beechpoint::gossip {

inline auto members(const Rumour& x) { return std::tie(x.member, x.presence, x.incarnation, x.by); }
inline auto members(const std::vector<Rumour>& rumours) {
    std::vector<decltype(members(rumours.front()))> all;
    for (const Rumour& rumour : rumours) all.push_back(members(rumour));
    return all;
}
inline auto members(const Ping& x) { return std::tuple(x.number, members(x.rumours)); }
inline auto members(const PingAsk& x) { return std::tuple(x.number, x.target, members(x.rumours)); }
inline auto members(const Ack& x) { return std::tuple(x.number, members(x.rumours)); }
inline auto members(const Nack& x) { return std::tie(x.number); }

}  // namespace beechpoint::gossip

namespace beechpoint::health_check {

inline auto members(const Ask& x) { return std::tie(x.host, x.number); }
inline auto members(const Word& x) { return std::tie(x.host, x.number, x.there, x.ageMs); }

}  // namespace beechpoint::health_check

namespace beechpoint::golden {

// Whether two messages are of the same kind, with the same fields.
template <class... T>
bool sameMessage(const std::variant<T...>& a, const std::variant<T...>& b) {
    if (a.index() != b.index()) return false;
    return std::visit([&]<class U>(const U& value) { return members(value) == members(std::get<U>(b)); }, a);
}

}  // namespace beechpoint::golden
