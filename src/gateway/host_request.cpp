#include "gateway/host_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "net/framing.hpp"

namespace beechpoint::gateway {

namespace {

constexpr Millis kShortestDeadline = 1;  // stated to a host

void removeHeader(upstream::Headers& headers, std::string_view name) {
    std::erase_if(headers,
                  [name](const upstream::Header& header) { return net::sameName(header.name, name); });
}

void replaceHeader(upstream::Headers& headers, std::string_view name, std::string value) {
    removeHeader(headers, name);
    headers.push_back({std::string(name), std::move(value)});
}

}  // namespace

upstream::Request hostRequest(const ClientRequest& request, const dispatch::Send& send,
                              const std::optional<std::string>& lastEventId) {
    upstream::Request out;
    out.method = request.method;
    out.target = request.target;
    out.headers = request.headers;
    out.body = request.body;
    out.attemptId = request.attemptId;
    const Millis deadline = std::max(send.timeout, kShortestDeadline);
    replaceHeader(out.headers, "X-Deadline-Remaining", fmt::format("{:.0f}", deadline));
    replaceHeader(out.headers, "X-Target-Instance", send.instanceId);
    // Only the system sets these: a client's would change which host accepts the request, and when.
    removeHeader(out.headers, "Expect-Version");
    removeHeader(out.headers, "Priority");
    if (send.engine) replaceHeader(out.headers, "Priority", std::to_string(send.priority));
    if (send.resume && lastEventId) replaceHeader(out.headers, "Last-Event-Id", *lastEventId);
    return out;
}

}  // namespace beechpoint::gateway
