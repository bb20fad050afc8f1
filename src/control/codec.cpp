#include "control/codec.hpp"

#include <tuple>
#include <utility>

#include "control/field_codec.hpp"
#include "control/table_packing.hpp"

namespace beechpoint::control {

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
struct Fields<leases::SharedLease> {
    static auto of(auto& lease) { return std::tie(lease.gateway, lease.age); }
};
template <>
struct Fields<instances::HostListVersion> {
    static auto of(auto& version) { return std::tie(version.fence, version.number, version.reader); }
};
template <>
struct Fields<instances::Model> {
    static auto of(auto& model) { return std::tie(model.name, model.revision, model.adapters); }
};
template <>
struct Fields<instances::Host> {
    static auto of(auto& host) {
        return std::tie(host.instanceId, host.service, host.address, host.zone, host.revision, host.capacity,
                        host.state, host.warmupLeft, host.remaining, host.phase, host.models);
    }
};
template <>
struct Fields<SharedHostList> {
    static auto of(auto& list) { return std::tie(list.version, list.readAge, list.hosts); }
};
template <>
struct Fields<instances::HostListChanges> {
    static auto of(auto& changes) {
        return std::tie(changes.base, changes.version, changes.sinceBase, changes.changed, changes.gone);
    }
};
template <>
struct Fields<SharedHostChanges> {
    static auto of(auto& shared) { return std::tie(shared.changes, shared.readAge); }
};
template <>
struct Fields<PollRequest> {
    static auto of(auto& request) {
        return std::tie(request.gateway, request.position, request.hostList, request.waitMs,
                        request.wantsLoad, request.directoryDigest, request.takesHostChanges);
    }
};
template <>
struct Fields<PollReply> {
    static auto of(auto& reply) {
        return std::tie(reply.status, reply.packedTable, reply.hostList, reply.hostListVersion,
                        reply.hostListAge, reply.liveGateways, reply.largestLive, reply.members,
                        reply.othersLoad, reply.leaseMs, reply.directoryDigest, reply.directory,
                        reply.hostChanges);
    }
};
template <>
struct Fields<Share> {
    static auto of(auto& share) {
        return std::tie(share.member, share.session, share.epoch, share.leases, share.hostListVersion,
                        share.hostListAge, share.hostList, share.readsHosts);
    }
};
template <>
struct Fields<ShareReply> {
    static auto of(auto& reply) { return std::tie(reply.hostListVersion); }
};

template <>
struct EnumBounds<instances::HostState> {
    static constexpr auto kLast = static_cast<std::uint8_t>(instances::HostState::draining);
};
template <>
struct EnumBounds<PollStatus> {
    static constexpr auto kLast = static_cast<std::uint8_t>(PollStatus::full);
};

namespace {

template <class T>
std::string enveloped(RequestKind kind, const T& message) {
    return static_cast<char>(kind) + rpc::pack(message);
}

}  // namespace

std::shared_ptr<const instances::HostList> receivedList(const SharedHostList& shared, Millis now) {
    auto list = std::make_shared<instances::HostList>();
    list->version = shared.version;
    list->readAt = now - shared.readAge;
    list->hosts = shared.hosts;
    return list;
}

std::string encode(const PollRequest& request) { return enveloped(RequestKind::poll, request); }
std::string encode(const Share& share) { return enveloped(RequestKind::share, share); }
std::string encode(const PollReply& reply) {
    if (!reply.table || !reply.packedTable.empty()) return rpc::pack(reply);
    PollReply packed = reply;
    packed.packedTable = packTable(*reply.table);
    return rpc::pack(packed);
}
std::string encode(const ShareReply& reply) { return rpc::pack(reply); }

Result<Envelope> openEnvelope(std::string_view bytes) {
    const auto first = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
    const auto last = static_cast<std::uint8_t>(RequestKind::share);
    if (first < static_cast<std::uint8_t>(RequestKind::poll) || first > last) {
        return Error{ErrorKind::invalid, "message", "the request is of no known kind",
                     "check that both processes are of one version"};
    }
    return Envelope{static_cast<RequestKind>(first), bytes.substr(1)};
}

Result<PollRequest> decodePollRequest(std::string_view body) { return rpc::unpack<PollRequest>(body); }
Result<PollReply> decodePollReply(std::string_view bytes) {
    auto reply = rpc::unpack<PollReply>(bytes);
    if (!reply || reply.value().packedTable.empty()) return reply;
    auto table = unpackTable(reply.value().packedTable);
    if (!table) return table.error();
    reply.value().table = std::move(table.value());
    reply.value().packedTable.clear();
    return reply;
}
Result<Share> decodeShare(std::string_view body) { return rpc::unpack<Share>(body); }
Result<ShareReply> decodeShareReply(std::string_view bytes) { return rpc::unpack<ShareReply>(bytes); }

}  // namespace beechpoint::control
