/// Writes and reads the messages of messages.hpp. Functions only; may be called from any thread.
#pragma once

#include <string>
#include <string_view>

#include "control_messages/messages.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

/// Requests begin with their RequestKind, replies are the message alone. PollReply::table is packed here where packedTable is empty.
[[nodiscard]] std::string encode(const PollRequest& request);
[[nodiscard]] std::string encode(const PollReply& reply);
[[nodiscard]] std::string encode(const PeerUpdate& peerUpdate);
[[nodiscard]] std::string encode(const PeerUpdateReply& reply);
[[nodiscard]] std::string encode(const UsageMessage& message);
[[nodiscard]] std::string encode(const UsageReply& reply);
[[nodiscard]] std::string encode(const duties::Proposal& proposal);
[[nodiscard]] std::string encode(const ProposalReply& reply);
[[nodiscard]] std::string encode(const duties::Settlement& settlement);
[[nodiscard]] std::string encode(const SettlementReply& reply);

/// The packed fields of PollReply and PeerUpdate. The age of the list's reading is sent beside them (hostListReadAge), so that a field is
/// packed once for all receivers.
[[nodiscard]] std::string packHostList(const host_discovery::HostList& list);
[[nodiscard]] std::string packHostChanges(const host_discovery::HostListChanges& changes);
[[nodiscard]] std::string packDirectory(const std::vector<leases::Gateway>& gateways);

/// A request, not decoded yet. `body` points into the bytes that it was opened from.
struct Envelope {
    RequestKind kind;
    std::string_view body;
};
/// Error (invalid): no bytes, or a kind that is not known.
[[nodiscard]] Result<Envelope> openEnvelope(std::string_view bytes);

/// Packed fields are unpacked into the plain ones and cleared. Error (invalid): bytes that are no such message.
[[nodiscard]] Result<PollRequest> decodePollRequest(std::string_view body);
[[nodiscard]] Result<PollReply> decodePollReply(std::string_view bytes);
[[nodiscard]] Result<PeerUpdate> decodePeerUpdate(std::string_view body);
[[nodiscard]] Result<PeerUpdateReply> decodePeerUpdateReply(std::string_view bytes);
[[nodiscard]] Result<UsageMessage> decodeUsageMessage(std::string_view body);
[[nodiscard]] Result<UsageReply> decodeUsageReply(std::string_view bytes);
[[nodiscard]] Result<duties::Proposal> decodeProposal(std::string_view body);
[[nodiscard]] Result<ProposalReply> decodeProposalReply(std::string_view bytes);
[[nodiscard]] Result<duties::Settlement> decodeSettlement(std::string_view body);
[[nodiscard]] Result<SettlementReply> decodeSettlementReply(std::string_view bytes);

}  // namespace beechpoint::control
