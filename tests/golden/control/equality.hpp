// Equality of the messages that have none of their own: all their fields, one after the other.
#pragma once

#include <tuple>

#include "control/replica_codec.hpp"
#include "control_messages/messages.hpp"
#include "replica/messages.hpp"

namespace beechpoint {

inline bool operator==(const TableUpdate& left, const TableUpdate& right) {
    return left.position == right.position && left.whole == right.whole && left.changes == right.changes;
}

}  // namespace beechpoint

namespace beechpoint::leases {

inline bool operator==(const ReportedLease& left, const ReportedLease& right) {
    return left.gateway == right.gateway && left.age == right.age;
}

}  // namespace beechpoint::leases

namespace beechpoint::control {

inline auto tied(const HostListSnapshot& list) { return std::tie(list.version, list.readAge, list.hosts); }
inline auto tied(const HostListDelta& shared) { return std::tie(shared.changes, shared.readAge); }
inline auto tied(const PollRequest& request) {
    return std::tie(request.gateway, request.position, request.hostList, request.waitMs, request.requestsLoad,
                    request.directoryDigest, request.acceptsHostChanges, request.acceptsPackedState,
                    request.clusterId, request.acceptsChunks, request.transferDigest, request.transferOffset);
}
inline auto tied(const PollReply& reply) {
    return std::tie(reply.status, reply.table, reply.packedTable, reply.hostList, reply.hostListVersion,
                    reply.hostListAge, reply.liveGatewayCount, reply.maxLiveGateways, reply.members,
                    reply.otherGatewaysLoad, reply.leaseMs, reply.directoryDigest, reply.directory,
                    reply.hostChanges, reply.packedHostList, reply.packedHostChanges, reply.packedDirectory,
                    reply.hostListReadAge, reply.retryAfterMs, reply.memberRegions, reply.clusterId,
                    reply.memberIncarnation, reply.transferDigest, reply.transferOffset, reply.transferSize);
}
inline auto tied(const PeerUpdate& peerUpdate) {
    return std::tie(peerUpdate.member, peerUpdate.session, peerUpdate.epoch, peerUpdate.leases,
                    peerUpdate.hostListVersion, peerUpdate.hostListAge, peerUpdate.hostList,
                    peerUpdate.readsHostList, peerUpdate.renewals, peerUpdate.packedHostList,
                    peerUpdate.packedHostChanges, peerUpdate.hostListReadAge, peerUpdate.hostChanges,
                    peerUpdate.clusterId);
}
inline auto tied(const PeerUpdateReply& reply) {
    return std::tie(reply.hostListVersion, reply.acceptsIncrements, reply.unknownLeases);
}
inline auto tied(const StoredView& view) { return std::tie(view.founders, view.view); }

template <class T>
concept Tied = requires(const T& value) {
    tied(value);
};
template <Tied T>
bool operator==(const T& left, const T& right) {
    return tied(left) == tied(right);
}

}  // namespace beechpoint::control

namespace beechpoint::replica {

inline auto tied(const Heartbeat& message) { return std::tie(message.sequence, message.sentAt); }
inline auto tied(const Status& status) {
    return std::tie(status.sealed, status.installed, status.diskFailing, status.syncedEpoch,
                    status.storedItems, status.committed, status.reachablePeers, status.unresponsivePeers,
                    status.stalledMember, status.stored, status.leaving);
}
inline auto tied(const HeartbeatReply& message) {
    return std::tie(message.sequence, message.sentAt, message.requesterSession, message.status);
}
inline auto tied(const Join&) { return std::tuple<>(); }
inline auto tied(const Prepare& message) {
    return std::tie(message.proposal, message.base, message.founders, message.observedDirectly);
}
inline auto tied(const Promise& message) {
    return std::tie(message.proposal, message.target, message.accepted, message.value, message.syncedEpoch,
                    message.position, message.appliedPosition, message.diskFailing);
}
inline auto tied(const Reject& message) {
    return std::tie(message.proposal, message.target, message.promised);
}
inline auto tied(const Accept& message) {
    return std::tie(message.proposal, message.base, message.founders, message.value);
}
inline auto tied(const Accepted& message) { return std::tie(message.proposal, message.target); }
inline auto tied(const Decided& message) { return std::tie(message.view); }
inline auto tied(const Propose& message) {
    return std::tie(message.opening, message.previous, message.batch);
}
inline auto tied(const Commit& message) { return std::tie(message.position); }
inline auto tied(const SyncRequest& message) {
    return std::tie(message.position, message.full, message.acceptsChunks, message.base, message.afterKey);
}
inline auto tied(const SyncReply& message) {
    return std::tie(message.since, message.update, message.base, message.afterKey, message.more);
}
inline auto tied(const Message& message) { return std::tie(message.from, message.epoch, message.body); }

template <class T>
concept Tied = requires(const T& value) {
    tied(value);
};
template <Tied T>
bool operator==(const T& left, const T& right) {
    return tied(left) == tied(right);
}

}  // namespace beechpoint::replica
