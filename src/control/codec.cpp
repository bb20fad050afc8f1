#include "control/codec.hpp"

#include <tuple>
#include <type_traits>
#include <utility>

#include "rpc/codec.hpp"

namespace beechpoint::control {
namespace {

// Every message as the tuple of its fields, in the order of the wire. New fields go to the end.

template <class T, class Plain>
using Same = std::enable_if_t<std::is_same_v<std::remove_const_t<T>, Plain>, int>;

template <class T, Same<T, leases::InstanceLoad> = 0>
auto fieldsOf(T& load) {
    return std::tie(load.instance, load.inFlight);
}
template <class T, Same<T, leases::Gateway> = 0>
auto fieldsOf(T& gateway) {
    return std::tie(gateway.name, gateway.session, gateway.zone, gateway.region, gateway.frontAddress,
                    gateway.ready, gateway.draining, gateway.load);
}
template <class T, Same<T, leases::SharedLease> = 0>
auto fieldsOf(T& lease) {
    return std::tie(lease.gateway, lease.age);
}
template <class T, Same<T, instances::HostListVersion> = 0>
auto fieldsOf(T& version) {
    return std::tie(version.fence, version.number, version.reader);
}
template <class T, Same<T, instances::Model> = 0>
auto fieldsOf(T& model) {
    return std::tie(model.name, model.revision, model.adapters);
}
template <class T, Same<T, instances::Host> = 0>
auto fieldsOf(T& host) {
    return std::tie(host.instanceId, host.service, host.address, host.zone, host.revision, host.capacity,
                    host.state, host.warmupLeft, host.remaining, host.phase, host.models);
}
template <class T, Same<T, SharedHostList> = 0>
auto fieldsOf(T& list) {
    return std::tie(list.version, list.readAge, list.hosts);
}
template <class T, Same<T, PollRequest> = 0>
auto fieldsOf(T& request) {
    return std::tie(request.gateway, request.position, request.hostList, request.waitMs, request.wantsLoad);
}
template <class T, Same<T, PollReply> = 0>
auto fieldsOf(T& reply) {
    return std::tie(reply.status, reply.table, reply.hostList, reply.hostListVersion, reply.hostListAge,
                    reply.liveGateways, reply.largestLive, reply.members, reply.othersLoad, reply.leaseMs);
}
template <class T, Same<T, Share> = 0>
auto fieldsOf(T& share) {
    return std::tie(share.member, share.session, share.epoch, share.leases, share.hostListVersion,
                    share.hostListAge, share.hostList);
}

template <class T>
concept HasFields = requires(T& value) {
    control::fieldsOf(value);
};

template <class T>
struct EnumBounds;
template <>
struct EnumBounds<instances::HostState> {
    static constexpr std::uint8_t kLast = static_cast<std::uint8_t>(instances::HostState::draining);
};
template <>
struct EnumBounds<PollStatus> {
    static constexpr std::uint8_t kLast = static_cast<std::uint8_t>(PollStatus::full);
};

template <class T>
concept BoundedEnum = requires {
    EnumBounds<T>::kLast;
};

}  // namespace
}  // namespace beechpoint::control

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    template <beechpoint::control::HasFields T>
    struct pack<T> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
            std::apply(
                [&out](const auto&... field) {
                    out.pack_array(sizeof...(field));
                    (out.pack(field), ...);
                },
                beechpoint::control::fieldsOf(value));
            return out;
        }
    };
    // Fields missing at the end keep their defaults; more of them than known are ignored.
    template <beechpoint::control::HasFields T>
    struct convert<T> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const {
            if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
            std::uint32_t index = 0;
            const auto read = [&](auto& field) {
                if (index < object.via.array.size) object.via.array.ptr[index].convert(field);
                index++;
            };
            std::apply([&read](auto&... field) { (read(field), ...); }, beechpoint::control::fieldsOf(value));
            return object;
        }
    };

    template <beechpoint::control::BoundedEnum T>
    struct pack<T> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const T& value) const {
            out.pack(static_cast<std::uint8_t>(value));
            return out;
        }
    };
    template <beechpoint::control::BoundedEnum T>
    struct convert<T> {
        const msgpack::object& operator()(const msgpack::object& object, T& value) const {
            std::uint8_t number = 0;
            object.convert(number);
            if (number > beechpoint::control::EnumBounds<T>::kLast) throw msgpack::type_error();
            value = static_cast<T>(number);
            return object;
        }
    };

    }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

namespace beechpoint::control {
namespace {

template <class T>
std::string enveloped(RequestKind kind, const T& message) {
    return static_cast<char>(kind) + rpc::pack(message);
}

}  // namespace

std::string encode(const PollRequest& request) { return enveloped(RequestKind::poll, request); }
std::string encode(const Share& share) { return enveloped(RequestKind::share, share); }
std::string encode(const PollReply& reply) { return rpc::pack(reply); }

Result<Envelope> openEnvelope(std::string_view bytes) {
    const auto first = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
    const auto last = static_cast<std::uint8_t>(RequestKind::share);
    if (first < static_cast<std::uint8_t>(RequestKind::poll) || first > last)
        return Error{ErrorKind::invalid, "message", "the request is of no known kind",
                     "check that both processes are of one version"};
    return Envelope{static_cast<RequestKind>(first), bytes.substr(1)};
}

Result<PollRequest> decodePollRequest(std::string_view body) { return rpc::unpack<PollRequest>(body); }
Result<Share> decodeShare(std::string_view body) { return rpc::unpack<Share>(body); }
Result<PollReply> decodePollReply(std::string_view bytes) { return rpc::unpack<PollReply>(bytes); }

}  // namespace beechpoint::control
