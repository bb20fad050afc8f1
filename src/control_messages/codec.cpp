#include "control_messages/codec.hpp"

#include <utility>

#include "control_messages/message_fields.hpp"
#include "control_messages/table_packing.hpp"

namespace beechpoint::control {
namespace {

/// The value of a packed field, which is cleared. Nothing: the field is empty. Error (invalid): it can't be read.
template <class T>
Result<std::optional<T>> takePacked(std::string& packed) {
    if (packed.empty()) return std::optional<T>();
    const auto plain = unpackBytes(packed);
    if (!plain) return plain.error();
    auto value = rpc::unpack<T>(plain.value());
    if (!value) return value.error();
    packed.clear();
    return std::optional<T>(std::move(value.value()));
}

/// The packed fields that a PollReply and a PeerUpdate have in common.
template <class Message>
std::optional<Error> unpackHostList(Message& message) {
    auto list = takePacked<HostListSnapshot>(message.packedHostList);
    if (!list) return list.error();
    if (list.value()) {
        message.hostList = std::move(list.value());
        message.hostList->readAge = message.hostListReadAge;
    }
    auto changes = takePacked<host_discovery::HostListChanges>(message.packedHostChanges);
    if (!changes) return changes.error();
    if (changes.value())
        message.hostChanges = HostListDelta{std::move(*changes.value()), message.hostListReadAge};
    return std::nullopt;
}

// A chunk of a table stays packed; the receiver unpacks the table once it has all chunks.
std::optional<Error> unpackTable(PollReply& reply) {
    if (reply.transferSize > 0) return std::nullopt;
    auto table = takePacked<TableUpdate>(reply.packedTable);
    if (!table) return table.error();
    if (table.value()) reply.table = std::move(table.value());
    return std::nullopt;
}

std::optional<Error> unpackFields(PollReply& reply) {
    if (auto error = unpackTable(reply)) return error;
    if (auto error = unpackHostList(reply)) return error;
    auto directory = takePacked<std::vector<leases::Gateway>>(reply.packedDirectory);
    if (!directory) return directory.error();
    if (directory.value()) reply.directory = std::move(directory.value());
    return std::nullopt;
}

std::optional<Error> unpackFields(PeerUpdate& peerUpdate) { return unpackHostList(peerUpdate); }

template <class T>
std::string encodeRequest(RequestKind kind, const T& request) {
    return static_cast<char>(kind) + rpc::pack(request);
}

/// A message with packed fields.
template <class T>
Result<T> decodeAndUnpack(std::string_view bytes) {
    auto message = rpc::unpack<T>(bytes);
    if (!message) return message;
    if (auto error = unpackFields(message.value())) return *error;
    return message;
}

}  // namespace

std::shared_ptr<const host_discovery::HostList> toHostList(const HostListSnapshot& snapshot, Millis now) {
    auto list = std::make_shared<host_discovery::HostList>();
    list->version = snapshot.version;
    list->readAt = now - snapshot.readAge;
    list->hosts = snapshot.hosts;
    return list;
}

std::string encode(const PollRequest& request) { return encodeRequest(RequestKind::poll, request); }
std::string encode(const PeerUpdate& peerUpdate) {
    return encodeRequest(RequestKind::peerUpdate, peerUpdate);
}
std::string encode(const PollReply& reply) {
    if (!reply.table || !reply.packedTable.empty()) return rpc::pack(reply);
    PollReply packed = reply;
    packed.packedTable = packTable(*reply.table);
    return rpc::pack(packed);
}
std::string encode(const PeerUpdateReply& reply) { return rpc::pack(reply); }
std::string encode(const UsageMessage& message) { return encodeRequest(RequestKind::usage, message); }
std::string encode(const UsageReply& reply) { return rpc::pack(reply); }
std::string encode(const duties::Proposal& proposal) {
    return encodeRequest(RequestKind::proposal, proposal);
}
std::string encode(const ProposalReply& reply) { return rpc::pack(reply); }
std::string encode(const duties::Settlement& settlement) {
    return encodeRequest(RequestKind::settlement, settlement);
}
std::string encode(const SettlementReply& reply) { return rpc::pack(reply); }

std::string packHostList(const host_discovery::HostList& list) {
    return packBytes(rpc::pack(HostListSnapshot{list.version, 0, list.hosts}));
}
std::string packHostChanges(const host_discovery::HostListChanges& changes) {
    return packBytes(rpc::pack(changes));
}
std::string packDirectory(const std::vector<leases::Gateway>& gateways) {
    return packBytes(rpc::pack(gateways));
}

Result<Envelope> openEnvelope(std::string_view bytes) {
    constexpr auto kFirst = static_cast<std::uint8_t>(RequestKind::poll);
    constexpr auto kLast = static_cast<std::uint8_t>(RequestKind::settlement);
    const auto kind = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
    if (kind < kFirst || kind > kLast) return malformed("message", "the request is of no known kind");
    return Envelope{static_cast<RequestKind>(kind), bytes.substr(1)};
}

Result<PollRequest> decodePollRequest(std::string_view body) { return rpc::unpack<PollRequest>(body); }
Result<PollReply> decodePollReply(std::string_view bytes) { return decodeAndUnpack<PollReply>(bytes); }
Result<PeerUpdate> decodePeerUpdate(std::string_view body) { return decodeAndUnpack<PeerUpdate>(body); }
Result<PeerUpdateReply> decodePeerUpdateReply(std::string_view bytes) {
    return rpc::unpack<PeerUpdateReply>(bytes);
}

Result<UsageMessage> decodeUsageMessage(std::string_view body) { return rpc::unpack<UsageMessage>(body); }
Result<UsageReply> decodeUsageReply(std::string_view bytes) { return rpc::unpack<UsageReply>(bytes); }
Result<duties::Proposal> decodeProposal(std::string_view body) { return rpc::unpack<duties::Proposal>(body); }
Result<ProposalReply> decodeProposalReply(std::string_view bytes) {
    return rpc::unpack<ProposalReply>(bytes);
}
Result<duties::Settlement> decodeSettlement(std::string_view body) {
    return rpc::unpack<duties::Settlement>(body);
}
Result<SettlementReply> decodeSettlementReply(std::string_view bytes) {
    return rpc::unpack<SettlementReply>(bytes);
}

}  // namespace beechpoint::control
