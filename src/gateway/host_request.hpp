/// The request that a gateway sends to a host: the client's, with what this attempt adds. Pure functions.
#pragma once

#include <optional>
#include <string>

#include "dispatch/messages.hpp"
#include "gateway/client_request.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

/// `lastEventId`: the last event that the client has of the stream, for an attempt that resumes it.
[[nodiscard]] upstream::Request hostRequest(const ClientRequest& request, const dispatch::Send& send,
                                            const std::optional<std::string>& lastEventId);

}  // namespace beechpoint::gateway
