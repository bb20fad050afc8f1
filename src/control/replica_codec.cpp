#include "control/replica_codec.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <tuple>
#include <utility>
#include <variant>

#include "control_messages/field_codec.hpp"

namespace beechpoint::control {

template <>
struct Fields<replica::Member> {
    static auto of(auto& member) {
        return std::tie(member.name, member.incarnation, member.session, member.internalAddress,
                        member.controlAddress, member.zone, member.countsAsLoss);
    }
};
template <>
struct Fields<replica::View> {
    static auto of(auto& view) { return std::tie(view.epoch, view.members, view.start, view.voters); }
};
template <>
struct Fields<replica::ProposalNumber> {
    static auto of(auto& proposal) { return std::tie(proposal.round, proposal.member, proposal.session); }
};
template <>
struct Fields<replica::Vote> {
    static auto of(auto& vote) { return std::tie(vote.epoch, vote.promised, vote.accepted, vote.value); }
};
template <>
struct Fields<replica::Heartbeat> {
    static auto of(auto& message) { return std::tie(message.sequence, message.sentAt); }
};
template <>
struct Fields<replica::Status> {
    static auto of(auto& status) {
        return std::tie(status.sealed, status.installed, status.diskFailing, status.syncedEpoch,
                        status.storedItems, status.committed, status.reachablePeers, status.unresponsivePeers,
                        status.stalledMember, status.leaving, status.stored);
    }
};
template <>
struct Fields<replica::HeartbeatReply> {
    static auto of(auto& message) {
        return std::tie(message.sequence, message.sentAt, message.requesterSession, message.status);
    }
};
template <>
struct Fields<replica::Join> {
    static auto of(auto&) { return std::tuple<>(); }
};
template <>
struct Fields<replica::Prepare> {
    static auto of(auto& message) {
        return std::tie(message.proposal, message.base, message.founders, message.observedDirectly);
    }
};
template <>
struct Fields<replica::Promise> {
    static auto of(auto& message) {
        return std::tie(message.proposal, message.target, message.accepted, message.value,
                        message.syncedEpoch, message.position, message.diskFailing, message.appliedPosition);
    }
};
template <>
struct Fields<replica::Reject> {
    static auto of(auto& message) { return std::tie(message.proposal, message.target, message.promised); }
};
template <>
struct Fields<replica::Accept> {
    static auto of(auto& message) {
        return std::tie(message.proposal, message.base, message.founders, message.value);
    }
};
template <>
struct Fields<replica::Accepted> {
    static auto of(auto& message) { return std::tie(message.proposal, message.target); }
};
template <>
struct Fields<replica::Decided> {
    static auto of(auto& message) { return std::tie(message.view); }
};
template <>
struct Fields<replica::Propose> {
    static auto of(auto& message) { return std::tie(message.opening, message.previous, message.batch); }
};
template <>
struct Fields<replica::Commit> {
    static auto of(auto& message) { return std::tie(message.position); }
};
template <>
struct Fields<replica::SyncRequest> {
    static auto of(auto& message) {
        return std::tie(message.position, message.full, message.acceptsChunks, message.base,
                        message.afterKey);
    }
};
template <>
struct FirstOmittable<replica::SyncRequest> {
    static constexpr std::size_t kIndex = 2;
};
template <>
struct Fields<replica::SyncReply> {
    static auto of(auto& message) {
        return std::tie(message.since, message.update, message.base, message.afterKey, message.more);
    }
};
template <>
struct FirstOmittable<replica::SyncReply> {
    static constexpr std::size_t kIndex = 2;
};
template <>
struct Fields<replica::Message> {
    static auto of(auto& message) { return std::tie(message.from, message.epoch, message.body); }
};
template <>
struct Fields<StoredView> {
    static auto of(auto& view) { return std::tie(view.founders, view.view); }
};

}  // namespace beechpoint::control

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    // A body is [index in the variant, message]: new kinds of messages go to the variant's end.
    template <>
    struct pack<beechpoint::replica::Body> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const beechpoint::replica::Body& body) const {
            out.pack_array(2);
            out.pack(static_cast<std::uint8_t>(body.index()));
            std::visit([&out](const auto& message) { out.pack(message); }, body);
            return out;
        }
    };
    template <>
    struct convert<beechpoint::replica::Body> {
        using Body = beechpoint::replica::Body;

        const msgpack::object& operator()(const msgpack::object& object, Body& body) const {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
                throw msgpack::type_error();
            std::uint8_t index = 0;
            object.via.array.ptr[0].convert(index);
            if (index >= std::variant_size_v<Body>) throw msgpack::type_error();
            read(object.via.array.ptr[1], index, body, std::make_index_sequence<std::variant_size_v<Body>>());
            return object;
        }

    private:
        template <std::size_t... Alternatives>
        static void read(const msgpack::object& object, std::size_t index, Body& body,
                         std::index_sequence<Alternatives...>) {
            (readAlternative<Alternatives>(object, index, body), ...);
        }
        template <std::size_t Alternative>
        static void readAlternative(const msgpack::object& object, std::size_t index, Body& body) {
            if (index == Alternative) object.convert(body.emplace<Alternative>());
        }
    };

    }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

namespace beechpoint::control {

std::string encodeMessages(const std::vector<replica::Message>& messages) { return rpc::pack(messages); }

Result<std::vector<replica::Message>> decodeMessages(std::string_view bytes) {
    auto messages = rpc::unpack<std::vector<replica::Message>>(bytes);
    if (messages && messages.value().size() > kMaxReplicaMessages) {
        return malformed("message", fmt::format("{} replica messages in one request, over the limit of {}",
                                                messages.value().size(), kMaxReplicaMessages));
    }
    return messages;
}

std::string encodeView(const StoredView& view) { return rpc::pack(view); }
Result<StoredView> decodeView(std::string_view bytes) { return rpc::unpack<StoredView>(bytes); }
std::string encodeVote(const replica::Vote& vote) { return rpc::pack(vote); }
Result<replica::Vote> decodeVote(std::string_view bytes) { return rpc::unpack<replica::Vote>(bytes); }

}  // namespace beechpoint::control
