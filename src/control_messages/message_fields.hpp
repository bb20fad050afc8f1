/// The fields of messages.hpp's structs in the order of the wire (field_codec.hpp). For codec.cpp only.
#pragma once

#include <tuple>

#include "control_messages/field_codec.hpp"
#include "control_messages/messages.hpp"

namespace beechpoint::control {

// --- parts of messages

template <>
struct Fields<leases::InstanceLoad> {
    static auto of(auto& load) { return std::tie(load.instance, load.inFlight); }
};
template <>
struct Fields<leases::Gateway> {
    static auto of(auto& gateway) {
        return std::tie(gateway.name, gateway.session, gateway.zone, gateway.region, gateway.frontAddress,
                        gateway.ready, gateway.draining, gateway.load);
    }
};
template <>
struct Fields<leases::ReportedLease> {
    static auto of(auto& lease) { return std::tie(lease.gateway, lease.age); }
};
template <>
struct Fields<leases::Renewal> {
    static auto of(auto& renewal) { return std::tie(renewal.id, renewal.ageMs); }
};
template <>
struct Fields<host_discovery::HostListVersion> {
    static auto of(auto& version) { return std::tie(version.fencingToken, version.number, version.reader); }
};
template <>
struct Fields<host_discovery::Model> {
    static auto of(auto& model) { return std::tie(model.name, model.revision, model.adapters); }
};
template <>
struct Fields<host_discovery::Host> {
    static auto of(auto& host) {
        return std::tie(host.instanceId, host.service, host.address, host.zone, host.revision, host.capacity,
                        host.state, host.warmupLeft, host.remaining, host.phase, host.models);
    }
};
template <>
struct Fields<HostListSnapshot> {
    static auto of(auto& list) { return std::tie(list.version, list.readAge, list.hosts); }
};
template <>
struct Fields<host_discovery::HostListChanges> {
    static auto of(auto& changes) {
        return std::tie(changes.base, changes.version, changes.sinceBase, changes.changed, changes.removed);
    }
};
template <>
struct Fields<HostListDelta> {
    static auto of(auto& shared) { return std::tie(shared.changes, shared.readAge); }
};
template <>
struct Fields<duties::WindowCounts> {
    static auto of(auto& window) { return std::tie(window.window, window.counts); }
};
template <>
struct Fields<duties::UsageReport> {
    static auto of(auto& report) {
        return std::tie(report.gateway, report.session, report.coveredUntil, report.windows);
    }
};
template <>
struct Fields<duties::Subject> {
    static auto of(auto& subject) { return std::tie(subject.duty, subject.service, subject.zone); }
};
template <>
struct Fields<duties::Intent> {
    static auto of(auto& intent) {
        return std::tie(intent.number, intent.token, intent.holder, intent.state, intent.body);
    }
};
// --- messages

template <>
struct Fields<PollRequest> {
    static auto of(auto& request) {
        return std::tie(request.gateway, request.position, request.hostList, request.waitMs,
                        request.requestsLoad, request.directoryDigest, request.acceptsHostChanges,
                        request.acceptsPackedState, request.clusterId, request.acceptsChunks,
                        request.transferDigest, request.transferOffset, request.unixTime);
    }
};
template <>
struct FirstOmittable<PollRequest> {
    static constexpr std::size_t kIndex = 8;
};
template <>
struct Fields<PollReply> {
    static auto of(auto& reply) {
        return std::tie(reply.status, reply.packedTable, reply.hostList, reply.hostListVersion,
                        reply.hostListAge, reply.liveGatewayCount, reply.maxLiveGateways, reply.members,
                        reply.otherGatewaysLoad, reply.leaseMs, reply.directoryDigest, reply.directory,
                        reply.hostChanges, reply.packedHostList, reply.packedHostChanges,
                        reply.packedDirectory, reply.hostListReadAge, reply.retryAfterMs, reply.memberRegions,
                        reply.clusterId, reply.memberIncarnation, reply.transferDigest, reply.transferOffset,
                        reply.transferSize, reply.estimatedUnixTime, reply.usageAddress, reply.usageTerm);
    }
};
template <>
struct FirstOmittable<PollReply> {
    static constexpr std::size_t kIndex = 19;
};
template <>
struct Fields<PeerUpdate> {
    static auto of(auto& peerUpdate) {
        return std::tie(peerUpdate.member, peerUpdate.session, peerUpdate.epoch, peerUpdate.leases,
                        peerUpdate.hostListVersion, peerUpdate.hostListAge, peerUpdate.hostList,
                        peerUpdate.readsHostList, peerUpdate.renewals, peerUpdate.packedHostList,
                        peerUpdate.packedHostChanges, peerUpdate.hostListReadAge, peerUpdate.clusterId);
    }
};
template <>
struct FirstOmittable<PeerUpdate> {
    static constexpr std::size_t kIndex = 12;
};
template <>
struct Fields<PeerUpdateReply> {
    static auto of(auto& reply) {
        return std::tie(reply.hostListVersion, reply.acceptsIncrements, reply.unknownLeases);
    }
};

template <>
struct Fields<UsageMessage> {
    static auto of(auto& message) {
        return std::tie(message.report, message.term, message.unixTime, message.clusterId);
    }
};
template <>
struct Fields<UsageReply> {
    static auto of(auto& reply) { return std::tie(reply.accepted, reply.recordedBefore); }
};
template <>
struct Fields<duties::Proposal> {
    static auto of(auto& proposal) {
        return std::tie(proposal.subject, proposal.number, proposal.token, proposal.holder, proposal.body);
    }
};
template <>
struct Fields<ProposalReply> {
    static auto of(auto& reply) { return std::tie(reply.answered, reply.outcome, reply.intent); }
};
template <>
struct Fields<duties::Settlement> {
    static auto of(auto& settlement) {
        return std::tie(settlement.subject, settlement.number, settlement.state);
    }
};
template <>
struct Fields<SettlementReply> {
    static auto of(auto& reply) { return std::tie(reply.recorded); }
};

// --- enums

template <>
struct EnumBounds<duties::Duty> {
    static constexpr auto kLast = static_cast<std::uint8_t>(duties::Duty::scaling);
};
template <>
struct EnumBounds<duties::IntentState> {
    static constexpr auto kLast = static_cast<std::uint8_t>(duties::IntentState::refused);
};
template <>
struct EnumBounds<duties::ProposalOutcome> {
    static constexpr auto kLast = static_cast<std::uint8_t>(duties::ProposalOutcome::tooLarge);
};

template <>
struct EnumBounds<host_discovery::HostState> {
    static constexpr auto kLast = static_cast<std::uint8_t>(host_discovery::HostState::draining);
};
template <>
struct EnumBounds<PollStatus> {
    static constexpr auto kLast = static_cast<std::uint8_t>(PollStatus::clusterMismatch);
};

}  // namespace beechpoint::control
