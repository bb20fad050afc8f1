// What a client's request says of itself in its headers, read for the dispatcher. Free of I/O.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/messages.hpp"
#include "net/http.hpp"
#include "routing/routing_table.hpp"
#include "upstream/headers.hpp"

namespace beechpoint::gateway {

inline constexpr Millis kDefaultDeadline = 30'000;  // where neither client nor route states one
inline constexpr std::size_t kMostPromptParts = 64;

// A request as it was read, kept for as long as it may be sent to a host.
struct ClientRequest {
    std::string method, target, attemptId;
    upstream::Headers headers;  // end to end
    std::shared_ptr<const std::string> body;
    std::optional<std::string> lastEventId;  // a stream that the client takes up again
    Millis deadline = kDefaultDeadline;      // what the client will wait from the request's first byte on
    std::vector<dispatch::PromptPart> prompt;
    std::uint32_t promptTokens = 0, outTokens = 0;
};

// Headers that can't be read are taken for absent.
ClientRequest readClientRequest(const net::HttpMessage& message);

// "ID:TOKENS,ID:TOKENS"; parts that can't be read are left out.
std::vector<dispatch::PromptPart> parsePromptPrefix(std::string_view text);

// The dispatcher's event for a request on this route; `waited`: since the request's first byte came, from when on the client counts
// its deadline and the operator the route's time.
dispatch::RequestArrived arrival(dispatch::RequestId id, const ClientRequest& request,
                                 const routing::RouteEntry& route, Millis waited);

}  // namespace beechpoint::gateway
