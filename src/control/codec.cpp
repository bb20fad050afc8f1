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
struct Fields<SharedHostList> {
    static auto of(auto& list) { return std::tie(list.version, list.readAge, list.hosts); }
};
template <>
struct Fields<host_discovery::HostListChanges> {
    static auto of(auto& changes) {
        return std::tie(changes.base, changes.version, changes.sinceBase, changes.changed, changes.removed);
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
                        request.wantsLoad, request.directoryDigest, request.takesHostChanges,
                        request.takesPackedState);
    }
};
template <>
struct Fields<PollReply> {
    static auto of(auto& reply) {
        return std::tie(reply.status, reply.packedTable, reply.hostList, reply.hostListVersion,
                        reply.hostListAge, reply.liveGateways, reply.largestLive, reply.members,
                        reply.othersLoad, reply.leaseMs, reply.directoryDigest, reply.directory,
                        reply.hostChanges, reply.packedHostList, reply.packedHostChanges,
                        reply.packedDirectory, reply.hostListReadAge, reply.retryAfterMs,
                        reply.memberRegions);
    }
};
template <>
struct Fields<PeerUpdate> {
    static auto of(auto& peerUpdate) {
        return std::tie(peerUpdate.member, peerUpdate.session, peerUpdate.epoch, peerUpdate.leases,
                        peerUpdate.hostListVersion, peerUpdate.hostListAge, peerUpdate.hostList,
                        peerUpdate.readsHosts, peerUpdate.renewals, peerUpdate.packedHostList,
                        peerUpdate.packedHostChanges, peerUpdate.hostListReadAge);
    }
};
template <>
struct Fields<PeerUpdateReply> {
    static auto of(auto& reply) {
        return std::tie(reply.hostListVersion, reply.takesIncrements, reply.unknownLeases);
    }
};

template <>
struct EnumBounds<host_discovery::HostState> {
    static constexpr auto kLast = static_cast<std::uint8_t>(host_discovery::HostState::draining);
};
template <>
struct EnumBounds<PollStatus> {
    static constexpr auto kLast = static_cast<std::uint8_t>(PollStatus::full);
};

namespace {

// Reads a packed field into the plain one; an error where it can't be read.
template <class T, class Take>
std::optional<Error> unpackField(std::string& packed, const Take& take) {
    if (packed.empty()) return std::nullopt;
    const auto plain = unpackBytes(packed);
    if (!plain) return plain.error();
    auto value = rpc::unpack<T>(plain.value());
    if (!value) return value.error();
    take(std::move(value.value()));
    packed.clear();
    return std::nullopt;
}

// The list's fields of a PollReply or a Share.
template <class Message, class TakeChanges>
std::optional<Error> unpackHosts(Message& message, const TakeChanges& takeChanges) {
    const auto takeList = [&](SharedHostList list) {
        list.readAge = message.hostListReadAge;
        message.hostList = std::move(list);
    };
    if (auto error = unpackField<SharedHostList>(message.packedHostList, takeList)) return error;
    return unpackField<host_discovery::HostListChanges>(message.packedHostChanges, takeChanges);
}

std::optional<Error> unpackFields(PollReply& reply) {
    if (!reply.packedTable.empty()) {
        auto table = unpackTable(reply.packedTable);
        if (!table) return table.error();
        reply.table = std::move(table.value());
        reply.packedTable.clear();
    }
    const auto takeChanges = [&](host_discovery::HostListChanges changes) {
        reply.hostChanges = SharedHostChanges{std::move(changes), reply.hostListReadAge};
    };
    if (auto error = unpackHosts(reply, takeChanges)) return error;
    const auto takeDirectory = [&](std::vector<leases::Gateway> gateways) {
        reply.directory = std::move(gateways);
    };
    return unpackField<std::vector<leases::Gateway>>(reply.packedDirectory, takeDirectory);
}

template <class T>
std::string enveloped(RequestKind kind, const T& message) {
    return static_cast<char>(kind) + rpc::pack(message);
}

}  // namespace

std::shared_ptr<const host_discovery::HostList> receivedList(const SharedHostList& shared, Millis now) {
    auto list = std::make_shared<host_discovery::HostList>();
    list->version = shared.version;
    list->readAt = now - shared.readAge;
    list->hosts = shared.hosts;
    return list;
}

std::string encode(const PollRequest& request) { return enveloped(RequestKind::poll, request); }
std::string encode(const PeerUpdate& peerUpdate) { return enveloped(RequestKind::peerUpdate, peerUpdate); }
std::string encode(const PollReply& reply) {
    if (!reply.table || !reply.packedTable.empty()) return rpc::pack(reply);
    PollReply packed = reply;
    packed.packedTable = packTable(*reply.table);
    return rpc::pack(packed);
}
std::string encode(const PeerUpdateReply& reply) { return rpc::pack(reply); }

std::string packHostList(const host_discovery::HostList& list) {
    return packBytes(rpc::pack(SharedHostList{list.version, 0, list.hosts}));
}
std::string packHostChanges(const host_discovery::HostListChanges& changes) {
    return packBytes(rpc::pack(changes));
}
std::string packDirectory(const std::vector<leases::Gateway>& gateways) {
    return packBytes(rpc::pack(gateways));
}

Result<Envelope> openEnvelope(std::string_view bytes) {
    const auto first = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
    const auto last = static_cast<std::uint8_t>(RequestKind::peerUpdate);
    if (first < static_cast<std::uint8_t>(RequestKind::poll) || first > last) {
        return Error{ErrorKind::invalid, "message", "the request is of no known kind",
                     "check that both processes are of one version"};
    }
    return Envelope{static_cast<RequestKind>(first), bytes.substr(1)};
}

Result<PollRequest> decodePollRequest(std::string_view body) { return rpc::unpack<PollRequest>(body); }
Result<PollReply> decodePollReply(std::string_view bytes) {
    auto reply = rpc::unpack<PollReply>(bytes);
    if (!reply) return reply;
    if (auto error = unpackFields(reply.value())) return *error;
    return reply;
}
Result<PeerUpdate> decodePeerUpdate(std::string_view body) {
    auto peerUpdate = rpc::unpack<PeerUpdate>(body);
    if (!peerUpdate) return peerUpdate;
    const auto takeChanges = [&](host_discovery::HostListChanges changes) {
        peerUpdate.value().hostChanges =
            SharedHostChanges{std::move(changes), peerUpdate.value().hostListReadAge};
    };
    if (auto error = unpackHosts(peerUpdate.value(), takeChanges)) return *error;
    return peerUpdate;
}
Result<PeerUpdateReply> decodePeerUpdateReply(std::string_view bytes) {
    return rpc::unpack<PeerUpdateReply>(bytes);
}

}  // namespace beechpoint::control
