// Writes and reads the messages of messages.hpp: the envelope's kind, then msgpack.
#pragma once

#include <string>
#include <string_view>

#include "control/messages.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

// Requests begin with the envelope's kind, replies carry none.
std::string encode(const PollRequest& request);
std::string encode(const PollReply& reply);
std::string encode(const PeerUpdate& peerUpdate);
std::string encode(const PeerUpdateReply& reply);

// The packed fields of PollReply and Share. The age of the list's reading travels beside them, so that they are packed once for all.
std::string packHostList(const host_discovery::HostList& list);
std::string packHostChanges(const host_discovery::HostListChanges& changes);
std::string packDirectory(const std::vector<leases::Gateway>& gateways);

// The kind and the body behind it. Error (invalid): empty, or a kind not known.
struct Envelope {
    RequestKind kind;
    std::string_view body;
};
Result<Envelope> openEnvelope(std::string_view bytes);

// Errors (invalid): bytes that are no such message.
Result<PollRequest> decodePollRequest(std::string_view body);
Result<PollReply> decodePollReply(std::string_view bytes);
Result<PeerUpdate> decodePeerUpdate(std::string_view body);
Result<PeerUpdateReply> decodePeerUpdateReply(std::string_view bytes);

}  // namespace beechpoint::control
