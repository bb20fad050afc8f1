// Writes and reads the messages of messages.hpp: the envelope's kind, then msgpack.
#pragma once

#include <string>
#include <string_view>

#include "control/messages.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

std::string encode(const PollRequest& request);  // with the envelope's kind
std::string encode(const Share& share);          // with the envelope's kind
std::string encode(const PollReply& reply);      // replies carry no kind

// The kind and the body behind it. Error (invalid): empty, or a kind not known.
struct Envelope {
    RequestKind kind;
    std::string_view body;
};
Result<Envelope> openEnvelope(std::string_view bytes);

// Errors (invalid): bytes that are no such message.
Result<PollRequest> decodePollRequest(std::string_view body);
Result<Share> decodeShare(std::string_view body);
Result<PollReply> decodePollReply(std::string_view bytes);

}  // namespace beechpoint::control
