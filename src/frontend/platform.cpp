#include "frontend/platform.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace beechpoint::frontend {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kText = "text/plain";
constexpr std::string_view kJson = "application/json";
constexpr std::int64_t kLongestWaitMs = 24 * 3600 * 1000;
constexpr double kShareSlack = 1e-3;
constexpr double kSumSlack = 0.01;  // shares are rounded, up to a hundred of them
constexpr int kDeepest = 8;         // a request's JSON nests three deep

bool knownClass(const coordinator::Settings& settings, std::string_view name) {
    return std::any_of(settings.classes.begin(), settings.classes.end(),
                       [&](const auto& c) { return c.name == name; });
}

std::string_view need(const net::HttpMessage& m, const char* name) {
    const std::string_view value = m.header(name);
    if (value.empty()) throw BadRequest(fmt::format("header {} is missing", name));
    if (m.count(name) > 1) throw BadRequest(fmt::format("header {} is given twice", name));
    return value;
}

// Ids go onto the wire towards track hosts, where a blank or a dot would change a line's meaning.
bool plainWord(std::string_view text) {
    return !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_';
    });
}

bool isRoute(std::string_view text) {
    return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

// The body as JSON. A name given twice in one object means something else to each reader, and nesting without
// end is an attack: neither is taken.
Json readBody(std::string_view text) {
    std::vector<std::set<std::string>> names;
    const char* wrong = nullptr;
    const Json::parser_callback_t look = [&](int depth, Json::parse_event_t event, Json& parsed) {
        if (depth > kDeepest) wrong = "the body nests too deep";
        if (wrong) return false;
        if (event == Json::parse_event_t::object_start) names.emplace_back();
        if (event == Json::parse_event_t::object_end) names.pop_back();
        if (event == Json::parse_event_t::key && !names.back().insert(parsed.get<std::string>()).second)
            wrong = "a name is given twice";
        return true;
    };
    Json body = Json::parse(text.begin(), text.end(), look, false);
    if (wrong) throw BadRequest(wrong);
    if (!body.is_object()) throw BadRequest("the body must be a JSON object");
    return body;
}

RequestPart readPart(const Json& target, int slices) {
    if (!target.is_object()) throw BadRequest("each target must be an object");
    const auto slice = target.find("partition"), share = target.find("share");
    if (slice == target.end() || !slice->is_number_integer())
        throw BadRequest("partition must be a whole number");
    const auto number = slice->get<std::int64_t>();
    if (number < 0 || number >= slices) throw BadRequest("partition is out of range");
    if (share == target.end() || !share->is_number()) throw BadRequest("share must be a number");
    const double weight = share->get<double>();
    if (!std::isfinite(weight) || weight < 0 || weight > 1 + kShareSlack)
        throw BadRequest("share must lie between 0 and 1");
    const auto work = target.find("est_us"), route = target.find("route");
    if (work != target.end() &&
        !(work->is_number() && std::isfinite(work->get<double>()) && work->get<double>() >= 0))
        throw BadRequest("est_us must be a number, 0 or more");
    if (route != target.end() && !(route->is_string() && isRoute(route->get_ref<const std::string&>())))
        throw BadRequest("route must be 16 hex digits");
    return {static_cast<int>(number), weight};
}

}  // namespace

Request readPlatformRequest(const net::HttpMessage& m, const coordinator::Settings& settings,
                            Millis received) {
    Request r;
    const std::string_view path = m.path().substr(1);
    const auto slash = path.find('/');
    r.klass = path.substr(0, slash);
    if (slash != std::string_view::npos) r.key = path.substr(slash + 1);
    if (need(m, "X-Qos") != r.klass) throw BadRequest("X-Qos and the path name different classes");
    r.id = need(m, "X-Trace-Id");
    if (!plainWord(r.id)) throw BadRequest("X-Trace-Id must be letters and digits");
    const std::string_view wait = need(m, "X-Expires-In-Ms");
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(wait.data(), wait.data() + wait.size(), ms);
    if (error != std::errc{} || end != wait.data() + wait.size() || ms < 0 || ms > kLongestWaitMs)
        throw BadRequest("X-Expires-In-Ms must be whole milliseconds");
    r.expires = received + static_cast<Millis>(ms);
    r.repeat = m.header("X-Second-Try") == "1";

    const Json body = readBody(m.body);
    const auto targets = body.find("targets"), text = body.find("query");
    if (targets == body.end() || !targets->is_array() || targets->empty())
        throw BadRequest("targets must be a list with at least one entry");
    if (text == body.end() || !text->is_string()) throw BadRequest("query must be text");
    r.text = text->get<std::string>();
    std::set<int> seen;
    double sum = 0;
    for (const Json& target : *targets) {
        r.parts.push_back(readPart(target, settings.shards));
        if (!seen.insert(r.parts.back().slice).second) throw BadRequest("a partition is named twice");
        sum += r.parts.back().share;
    }
    if (std::abs(sum - 1) > kSumSlack) throw BadRequest("the shares must add up to 1");
    return r;
}

std::string platformBody(const Final& final) {
    Json results = Json::array();
    for (const PartAnswer& part : final.parts)
        results.push_back({{"partition", part.slice}, {"value", part.value}});
    // A value that is not UTF-8 can't be told in JSON unchanged; dump() would throw on it.
    return Json{{"whole", final.whole}, {"results", std::move(results)}}.dump();
}

void Platform::handle(const net::HttpMessage& m, const std::shared_ptr<net::HttpConnection>& connection) {
    const std::string_view path = m.path();
    if (path == "/up" || path == "/counters") {
        if (m.method != "GET") return connection->respond(405, kText, "use GET\n", "Allow: GET\r\n");
        if (path == "/counters") return connection->respond(200, kText, counters_.line() + "\n");
        return up_() ? connection->respond(200, kText, "up\n")
                     : connection->respond(503, kText, "not taking queries\n");
    }
    const std::string_view klass = path.size() > 1 ? path.substr(1, path.find('/', 1) - 1) : path;
    if (m.method != "POST") {
        const bool known = knownClass(exchange_.settings(), klass);
        return connection->respond(known ? 405 : 404, kText, known ? "use POST\n" : "no such path\n",
                                   known ? "Allow: POST\r\n" : "");
    }
    Request request;
    try {
        if (path.size() < 2 || path.front() != '/') return connection->respond(404, kText, "no such path\n");
        if (!knownClass(exchange_.settings(), klass)) throw BadRequest("unknown class");
        request = readPlatformRequest(m, exchange_.settings(), connection->receivedAt());
    } catch (const BadRequest& e) {
        counters_.add(Counter::badRequests);
        return connection->respond(
            400, kText, std::string(e.what()) + "\n", {},
            Figures::ending(exchange_.turnedDown(std::string(klass)), Figures::End::failed));
    }
    const Ticket ticket = exchange_.take(
        std::move(request),
        [connection](const Final& final) {
            if (final.kind == Final::Kind::answered) {
                try {
                    return connection->respond(200, kJson, platformBody(final), {}, final.handedOver());
                } catch (const Json::exception&) {  // the back takes no such value
                    return connection->respond(500, kText, "a value was not text\n", {},
                                               Figures::ending(final.place, Figures::End::failed));
                }
            }
            if (final.kind == Final::Kind::refused)
                return connection->respond(
                    429, kText, "refused\n",
                    final.retryAfter > 0 ? net::retryAfterHeader(final.retryAfter) : std::string(),
                    final.handedOver());
            const bool inUse = final.why == Final::Why::duplicateId;
            connection->respond(inUse ? 400 : 500, kText, inUse ? "X-Trace-Id is in use\n" : "failed\n", {},
                                final.handedOver());
        },
        [connection] { return connection->left(); });
    if (ticket != 0) connection->whenGone([this, ticket] { exchange_.gone(ticket); });
}

}  // namespace beechpoint::frontend
