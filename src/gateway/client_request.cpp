#include "gateway/client_request.hpp"

#include <algorithm>
#include <charconv>

#include "net/framing.hpp"

namespace beechpoint::gateway {

namespace {

constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kTenantName = "X-Tenant-Name";

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template <class Number>
std::optional<Number> numberIn(std::string_view text) {
    text = trimmed(text);
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return number;
}

// Takes the element up to the next comma off the front of `rest`.
std::string_view nextElement(std::string_view& rest) {
    const auto comma = rest.find(',');
    const std::string_view element = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    return trimmed(element);
}

void readTokenUsage(std::string_view text, ClientRequest& request) {
    request.promptTokens = numberIn<std::uint32_t>(nextElement(text)).value_or(0);
    request.outTokens = numberIn<std::uint32_t>(nextElement(text)).value_or(0);
}

dispatch::RequestType typeOf(configuration::RouteType type) {
    switch (type) {
        case configuration::RouteType::idempotent:
            return dispatch::RequestType::idempotent;
        case configuration::RouteType::streaming:
            return dispatch::RequestType::streaming;
        case configuration::RouteType::nonIdempotent:
            break;
    }
    return dispatch::RequestType::nonIdempotent;
}

// The regions of the tenant bind beside those of the route.
void applyTenant(const tenants::TenantEntry& tenant, dispatch::RequestArrived& event) {
    if (tenant.priorityClass) event.priorityClass = *tenant.priorityClass;
    const std::vector<std::string>& regions = tenant.allowedRegions;
    if (regions.empty()) return;
    if (!event.allowedRegions) {
        event.allowedRegions = regions;
        return;
    }
    std::erase_if(*event.allowedRegions, [&regions](const std::string& region) {
        return std::find(regions.begin(), regions.end(), region) == regions.end();
    });
}

}  // namespace

std::vector<dispatch::PromptPart> parsePromptPrefix(std::string_view text) {
    std::vector<dispatch::PromptPart> parts;
    while (!text.empty() && parts.size() < kMaxPromptParts) {
        const std::string_view element = nextElement(text);
        const auto colon = element.rfind(':');
        if (colon == std::string_view::npos || colon == 0) continue;
        const auto tokens = numberIn<std::uint32_t>(element.substr(colon + 1));
        if (tokens) parts.push_back({std::string(element.substr(0, colon)), *tokens});
    }
    return parts;
}

ClientRequest readClientRequest(const net::HttpMessage& message) {
    ClientRequest request;
    request.method = message.method;
    request.target = message.target;
    request.attemptId = trimmed(message.header("X-Attempt-Id"));
    request.headers = upstream::endToEndHeaders(message.headers);
    const bool framed = message.count("Content-Length") > 0 || message.count("Transfer-Encoding") > 0;
    if (framed || !message.body.empty()) request.body = std::make_shared<const std::string>(message.body);
    if (message.count("Last-Event-Id") > 0) request.lastEventId = trimmed(message.header("Last-Event-Id"));
    const auto deadline = numberIn<double>(message.header("X-Deadline-Remaining"));
    if (deadline && *deadline >= 0) request.deadline = *deadline;
    request.prompt = parsePromptPrefix(message.header("X-Prompt-Prefix"));
    readTokenUsage(message.header("X-Token-Usage"), request);
    return request;
}

std::vector<std::string_view> authorizationOf(const net::HttpMessage& message) {
    std::vector<std::string_view> values;
    for (const auto& [name, value] : message.headers)
        if (net::sameName(name, kAuthorization)) values.push_back(value);
    return values;
}

void assignTenant(const tenants::Authentication& authentication, ClientRequest& request) {
    const bool hasTenants = authentication.outcome != tenants::AuthenticationOutcome::unrestricted;
    std::erase_if(request.headers, [hasTenants](const upstream::Header& header) {
        return net::sameName(header.name, kTenantName) ||
               (hasTenants && net::sameName(header.name, kAuthorization));
    });
    request.tenant = authentication.tenant;
    if (request.tenant) request.headers.push_back({std::string(kTenantName), request.tenant->name});
}

dispatch::RequestArrived arrival(dispatch::RequestId id, const ClientRequest& request,
                                 const routing::RouteEntry& entry, Millis sinceFirstByte) {
    const configuration::Route& route = entry.route;
    dispatch::RequestArrived event;
    event.id = id;
    event.attemptId = request.attemptId;
    event.route = route.name;
    double below = 0;
    for (const routing::BackendWeight& weight : entry.weights) {
        event.services.push_back({weight.service, weight.cumulativeWeight - below});
        below = weight.cumulativeWeight;
    }
    event.type = typeOf(route.type);
    event.timeout = route.timeoutMs;
    event.deadline = request.deadline - sinceFirstByte;
    if (route.timeoutMs > 0) event.deadline = std::min(event.deadline, route.timeoutMs - sinceFirstByte);
    event.latencyTarget = route.targetLatencyMs > 0 ? route.targetLatencyMs : event.deadline;
    event.gapTarget = route.gapAimMs;
    event.priorityClass = route.priorityClass;
    event.maxAttempts = std::max(route.maxAttempts, 1);
    event.resumable = route.resumable;
    event.prompt = request.prompt;
    event.promptTokens = request.promptTokens;
    event.maxOutputTokens = request.outTokens;
    event.bodyBytes = request.body ? request.body->size() : 0;
    if (!route.allowedRegions.empty()) event.allowedRegions = route.allowedRegions;
    if (request.tenant) applyTenant(*request.tenant, event);
    return event;
}

}  // namespace beechpoint::gateway
