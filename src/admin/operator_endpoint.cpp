#include "admin/operator_endpoint.hpp"

#include <fmt/format.h>

#include <charconv>

namespace beechpoint::admin {

namespace {

constexpr std::string_view kText = "text/plain";
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kTrackHosts = "/ops/track-hosts/";
constexpr std::string_view kGroup = "/ops/group";
constexpr std::string_view kFound = "/ops/group/found/";
constexpr std::string_view kTake = "/ops/group/take/";
constexpr std::string_view kGive = "/ops/group/give/";
constexpr std::size_t kLongestId = 256;

int digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

}  // namespace

std::optional<std::string> decodeId(std::string_view text) {
    std::string id;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            if (text[i] == '/') return std::nullopt;  // a further part of the path, not of the id
            id += text[i];
            continue;
        }
        const int high = i + 2 < text.size() ? digit(text[i + 1]) : -1;
        const int low = i + 2 < text.size() ? digit(text[i + 2]) : -1;
        if (high < 0 || low < 0) return std::nullopt;
        id += static_cast<char>(high * 16 + low);
        i += 2;
    }
    if (id.empty() || id.size() > kLongestId) return std::nullopt;
    return id;
}

OperatorEndpoint::OperatorEndpoint(asio::io_context& io, const Clock& clock, Logger& log, Controls& controls)
    : controls_(controls),
      log_(log),
      server_(io, clock, log, kPlaces,
              [this](const net::HttpMessage& m, const Connection& c) { handle(m, c); }) {
    server_.closing(true);
}

void OperatorEndpoint::handle(const net::HttpMessage& m, const Connection& connection) {
    const std::string_view path = m.path();
    if (path == kGroup || path.starts_with(kFound) || path.starts_with(kTake) || path.starts_with(kGive))
        return group(m, connection);
    const bool reads = path == "/ops/readiness" || path == "/ops/stats";
    const bool drains = path == "/ops/drain/start" || path == "/ops/drain/stop";
    if (!reads && !drains && !path.starts_with(kTrackHosts))
        return connection->respond(404, kText, "no such call\n");
    const std::string_view method = reads ? "GET" : "PUT";
    if (m.method != method)
        return connection->respond(405, kText, fmt::format("use {}\n", method),
                                   fmt::format("Allow: {}\r\n", method));
    if (path == "/ops/stats") return connection->respond(200, kJson, controls_.stats() + "\n");
    if (path == "/ops/readiness")
        return controls_.ready() ? connection->respond(200, kText, "ready\n")
                                 : connection->respond(503, kText, "not ready to serve\n");
    if (!drains) return trackHost(path.substr(kTrackHosts.size()), connection);
    const bool start = path == "/ops/drain/start";
    const bool yes = controls_.drain(start);
    log_.info("an operator called drain/{}: {}", field("call", start ? "start" : "stop"),
              field("reply", yes ? "yes" : "no"));
    yes ? connection->respond(200, kText, start ? "draining\n" : "serving\n")
        : connection->respond(409, kText, "not possible while starting or stopping\n");
}

void OperatorEndpoint::group(const net::HttpMessage& m, const Connection& connection) {
    const bool reads = m.path() == kGroup;
    const std::string_view method = reads ? "GET" : "PUT";
    if (m.method != method)
        return connection->respond(405, kText, fmt::format("use {}\n", method),
                                   fmt::format("Allow: {}\r\n", method));
    const std::string shown = controls_.group();
    if (shown.empty()) return connection->respond(404, kText, "this gatherer is in no group\n");
    if (reads) return connection->respond(200, kJson, shown + "\n");
    if (m.path().starts_with(kTake)) return singletonRole(true, m.path().substr(kTake.size()), connection);
    if (m.path().starts_with(kGive)) return singletonRole(false, m.path().substr(kGive.size()), connection);
    const std::string_view text = m.path().substr(kFound.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number == 0)
        return connection->respond(400, kText, "the group's number must be 1 to 2147483647\n");
    controls_.foundGroup(number)
        ? connection->respond(200, kText, "asking the other voters\n")
        : connection->respond(409, kText, "this member has a state, or is no voter\n");
}

void OperatorEndpoint::singletonRole(bool take, std::string_view rest, const Connection& connection) {
    const auto slash = take ? std::string_view::npos : rest.find('/');
    const auto name = decodeId(rest.substr(0, slash));
    const auto to =
        slash == std::string_view::npos ? std::optional<std::string>("") : decodeId(rest.substr(slash + 1));
    if (!name || !to)
        return connection->respond(400, kText, "the duty's name or the member's is malformed\n");
    controls_.singletonRole(take, *name, *to, [this, connection, take, name = *name](Controls::Settled end) {
        log_.info("an operator called group/{} for duty {}: {}", field("call", take ? "take" : "give"),
                  field("duty", name),
                  field("reply", !end.known ? "not known"
                                 : end.yes  ? "yes"
                                            : "no"));
        if (!end.known)
            return connection->respond(504, kText,
                                       "not known: it may have been settled or not; look at the group\n");
        end.yes ? connection->respond(200, kJson, fmt::format("{{\"fence\":{}}}\n", end.fencingToken))
                : connection->respond(409, kText,
                                      take ? "somebody holds it, or there is no such duty\n"
                                           : "this gatherer does not hold it, or there is no such member\n");
    });
}

void OperatorEndpoint::trackHost(std::string_view rest, const Connection& connection) {
    const auto slash = rest.find('/');
    const std::string_view where = rest.substr(0, slash);
    if (slash == std::string_view::npos || (where != "down" && where != "up"))
        return connection->respond(404, kText, "no such call\n");
    const std::optional<std::string> id = decodeId(rest.substr(slash + 1));
    if (!id) return connection->respond(400, kText, "the track host's id is malformed\n");
    const bool out = where == "down";
    controls_.trackHost(*id, out, [this, connection, out, id = *id](Controls::Reply reply) {
        const bool yes = reply == Controls::Reply::done;
        log_.info("an operator called track-hosts/{} for host {}: {}", field("call", out ? "down" : "up"),
                  field("host", id), field("reply", yes ? "yes" : "no"));
        if (yes) return connection->respond(200, kText, out ? "out\n" : "in use again\n");
        reply == Controls::Reply::unknown
            ? connection->respond(404, kText, "no such track host\n")
            : connection->respond(503, kText, "the call could not be stored: nothing was changed\n");
    });
}

}  // namespace beechpoint::admin
