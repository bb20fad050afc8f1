#include "surroundings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace beechpoint::system_test {
namespace {

constexpr std::size_t kCallers = 256;

constexpr std::size_t kZones = 3;

std::string entryOf(const std::string& instance, const char* service, const asio::ip::tcp::endpoint& at,
                    std::size_t zone) {
    return fmt::format(
        R"({{"instance_id":"{}","backend":"{}","address":"{}:{}","zone":"z{}","revision":"v1",)"
        R"("capacity":64,"state":"serving","warmup_left_ms":0}})",
        instance, service, at.address().to_string(), at.port(), zone);
}

std::string listOf(const std::vector<asio::ip::tcp::endpoint>& hosts,
                   const std::vector<asio::ip::tcp::endpoint>& streamHosts) {
    std::vector<std::string> entries;
    for (std::size_t host = 0; host < hosts.size(); ++host)
        entries.push_back(entryOf(fmt::format("i-{}", host + 1), "s1", hosts[host], host + 1));
    for (std::size_t host = 0; host < streamHosts.size(); ++host)
        entries.push_back(entryOf(streamHostName(host), "s2", streamHosts[host], host % kZones + 1));
    return fmt::format(R"({{"instances":[{}],"next_page_token":null}})", fmt::join(entries, ","));
}

bool showsKey(const net::HttpMessage& message) {
    return message.count("authorization") > 0 || std::ranges::any_of(message.headers, [](const auto& header) {
               return header.second.find(kKeyMark) != std::string_view::npos;
           });
}

std::string subjectOf(const net::HttpMessage& message) {
    const std::string path(message.path());
    const auto body = nlohmann::json::parse(message.body, nullptr, false);
    if (path != "/scaling" || !body.is_object()) return path;
    return fmt::format("{}/{}/{}", path, body.value("backend", ""), body.value("zone", ""));
}

std::uint64_t numberOf(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}  // namespace

std::string streamHostName(std::size_t host) { return fmt::format("s-{}", host + 1); }

Surroundings::Surroundings(Background& background, const asio::ip::tcp::endpoint& platform,
                           const std::vector<asio::ip::tcp::endpoint>& hosts,
                           const std::vector<asio::ip::tcp::endpoint>& streamHosts)
    : background_(background), logger_(clock_, logging::Format::json, -1), list_(listOf(hosts, streamHosts)) {
    background.run([&] {
        platform_ = std::make_unique<net::HttpServer>(
            background.io(), clock_, logger_, kCallers,
            [this](const net::HttpMessage& message, const Connection& connection) {
                onPlatformCall(message, connection);
            });
        platform_->listen(platform);
        for (const auto& host : hosts) {
            hosts_.push_back(std::make_unique<net::HttpServer>(
                background.io(), clock_, logger_, kCallers,
                [this](const net::HttpMessage& message, const Connection& connection) {
                    onHostRequest(message, connection);
                }));
            net::HttpLimits limits;
            limits.body = kMostBody;
            hosts_.back()->limits(limits);
            hosts_.back()->listen(host);
        }
    });
}

Surroundings::~Surroundings() = default;

void Surroundings::trouble(const PlatformTroubles& troubles, std::uint64_t seed) {
    background_.run([&] {
        troubles_ = troubles;
        random_.seed(seed);
    });
}

void Surroundings::spoilStreams(double probability) {
    background_.run([&] { spoiledStreams_ = probability; });
}

std::vector<DutyCall> Surroundings::dutyCalls() {
    return background_.run([this] { return dutyCalls_; });
}

std::vector<HostRun> Surroundings::runs() {
    return background_.run([this] { return runs_; });
}

void Surroundings::later(std::chrono::milliseconds after, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(background_.io(), after);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) action();
    });
}

void Surroundings::onPlatformCall(const net::HttpMessage& message, const Connection& connection) {
    if (message.method == "POST")
        onDutyCall(message, connection);
    else
        connection->respond(200, "application/json", list_);
}

void Surroundings::onDutyCall(const net::HttpMessage& message, const Connection& connection) {
    DutyCall call;
    call.at = unixTime();
    call.subject = subjectOf(message);
    call.holder = message.header("x-duty-holder");
    call.token = numberOf(message.header("x-fence-token"));
    call.body = message.body;
    std::uint64_t& highest = highestTokens_[call.subject];
    const bool isLost = happens(troubles_.lost), isSlow = happens(troubles_.slow);
    if (happens(troubles_.refused)) {
        call.answer = 429;
    } else {
        call.accepted = call.token >= highest;
        highest = std::max(highest, call.token);
        call.answer = isLost ? 0 : (call.accepted ? 200 : 409);
    }
    dutyCalls_.push_back(call);
    const auto answer = [connection, status = call.answer] {
        if (status == 0)
            connection->reset();
        else
            connection->respond(status, "application/json", "{}");
    };
    if (isSlow)
        later(PlatformTroubles::kSlowTime, answer);
    else
        answer();
}

void Surroundings::onHostRequest(const net::HttpMessage& message, const Connection& connection) {
    HostRun run;
    run.at = unixTime();
    run.id = message.header("x-attempt-id");
    run.tenant = message.header("x-tenant-name");
    run.path = message.path();
    run.keySeen = showsKey(message);
    runs_.push_back(run);
    const std::string headers = fmt::format("X-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n", run.id);
    if (run.path.starts_with("/once/")) {
        later(kWorkTime,
              [connection, headers] { connection->respond(200, "text/plain", kPlainAnswer, headers); });
    } else if (run.path.starts_with("/events/")) {
        streamEvents(runs_.back(), numberOf(message.header("last-event-id")), connection, headers);
    } else if (run.path.starts_with("/large/")) {
        if (connection->beginStream(200, headers + "Content-Type: text/plain\r\n", std::nullopt))
            streamLarge(kLargeAnswer, connection);
    } else if (run.path.starts_with("/stream/")) {
        if (!connection->beginStream(200, headers + "Content-Type: text/plain\r\n", std::nullopt)) return;
        connection->writeSome("begin;");
        later(kPieceTime, [connection] { connection->writeSome("middle;"); });
        later(2 * kPieceTime, [connection] {
            connection->writeSome("end");
            connection->endStream();
        });
    } else {
        connection->respond(200, "text/plain", kPlainAnswer, headers);
    }
}

void Surroundings::streamLarge(std::size_t left, const Connection& connection) {
    if (left == 0) return connection->endStream();
    connection->writeSome(std::string(kLargePiece, 'x'));
    connection->whenDrained([left, connection] { streamLarge(left - kLargePiece, connection); });
}

void Surroundings::streamEvents(HostRun& run, std::uint64_t after, const Connection& connection,
                                const std::string& headers) {
    run.spoiled = happens(spoiledStreams_);
    std::uniform_int_distribution<std::size_t> spoils(1, kSpoils - 1);
    const Spoil spoil = run.spoiled ? static_cast<Spoil>(spoils(random_)) : Spoil::none;
    const EventScript script = scriptOf(run.id, after, spoil);
    if (!connection->beginStream(200, headers + "Content-Type: text/event-stream\r\n", std::nullopt)) return;
    std::chrono::milliseconds at{0};
    for (const std::string& piece : script.pieces) {
        later(at, [connection, piece] { connection->writeSome(piece); });
        at += kEventTime;
    }
    later(at, [connection, reset = script.endsWithReset] {
        reset ? connection->reset() : connection->endStream();
    });
}

}  // namespace beechpoint::system_test
