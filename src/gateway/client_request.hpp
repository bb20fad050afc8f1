/// A client's request and what its headers say of it, read for the dispatcher. Pure functions.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/messages.hpp"
#include "net/http.hpp"
#include "routing/routing_table.hpp"
#include "tenants/authentication.hpp"
#include "upstream/headers.hpp"

namespace beechpoint::gateway {

inline constexpr Millis kDefaultDeadline = 30'000;  ///< where neither client nor route states one
inline constexpr std::size_t kMaxPromptParts = 64;  ///< further parts of a prompt are ignored

/// A request as it was read; it lives for as long as it may be sent to a host.
struct ClientRequest {
    std::string method, target, attemptId;
    upstream::Headers headers;                ///< end to end only
    std::shared_ptr<const std::string> body;  ///< null: none
    std::optional<std::string> lastEventId;   ///< of a stream that the client resumes
    Millis deadline = kDefaultDeadline;       ///< what the client will wait, from the request's first byte on
    std::vector<dispatch::PromptPart> prompt;
    std::uint32_t promptTokens = 0, outTokens = 0;
    std::shared_ptr<const tenants::TenantEntry> tenant;  ///< null: none
};

/// Values of the message's Authorization fields, as views into it.
[[nodiscard]] std::vector<std::string_view> authorizationOf(const net::HttpMessage& message);

/// Makes the request its tenant's: hosts get the tenant's name and never the key.
void assignTenant(const tenants::Authentication& authentication, ClientRequest& request);

/// Headers that can't be read count as absent.
[[nodiscard]] ClientRequest readClientRequest(const net::HttpMessage& message);

/// The parts of X-Prompt-Prefix, "ID:TOKENS,ID:TOKENS"; those that can't be read are left out.
[[nodiscard]] std::vector<dispatch::PromptPart> parsePromptPrefix(std::string_view text);

/// The dispatcher's event for a request on this route. `sinceFirstByte`: from then on the client counts its deadline and
/// the operator the route's time-out.
[[nodiscard]] dispatch::RequestArrived arrival(dispatch::RequestId id, const ClientRequest& request,
                                               const routing::RouteEntry& route, Millis sinceFirstByte);

}  // namespace beechpoint::gateway
