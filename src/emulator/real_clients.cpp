#include "emulator/real_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <asio/write.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace beechpoint::emulator {

namespace {

using Json = nlohmann::json;

// Retry-After in seconds, whole or decimal; 0 where there is none.
Millis retryAfter(std::string_view text) {
    double seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds > 0 && seconds < 3600 ? seconds * 1000 : 0;
}

}  // namespace

struct RealClients::Line {
    Line(asio::io_context& io, int g) : socket(io), gatherer(g) { renew(); }
    void renew() {
        reader = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, in,
                                                   net::HttpReader::OnBody{}, 1 << 20);
    }
    tcp::socket socket;
    int gatherer;
    net::Buffer in;
    std::unique_ptr<net::HttpReader> reader;
    TryPtr request;
    std::string out;
    std::uint64_t last = 0;  // the try that was answered on it last
    bool written = false;    // the request, whole
    bool used = false;       // it has carried a request before this one
    bool again = false;      // the request was on a connection before, which closed as it was written
    bool over = false;
};

RealClients::RealClients(Stage& stage, std::vector<tcp::endpoint> gatherers, std::size_t most)
    : stage_(stage), most_(most) {
    for (tcp::endpoint& to : gatherers) pools_.push_back({std::move(to), {}, 0, {}});
}

RealClients::~RealClients() {
    for (Pool& pool : pools_)
        for (const LinePtr& line : pool.idle) line->over = true;
    for (const auto& [number, line] : busy_) line->over = true;
}

std::size_t RealClients::connections() const {
    std::size_t count = 0;
    for (const Pool& pool : pools_) count += pool.open;
    return count;
}

void RealClients::send(const TryPtr& request) {
    Pool& pool = pools_[static_cast<std::size_t>(request->gatherer)];
    if (!pool.idle.empty()) {
        const LinePtr line = pool.idle.front();
        pool.idle.pop_front();
        return assign(line, request);
    }
    if (pool.open >= most_) {
        pool.waiting.push_back(request);
        return;
    }
    dial(request->gatherer, request, false);
}

void RealClients::dial(int gatherer, const TryPtr& request, bool again) {
    Pool& pool = pools_[static_cast<std::size_t>(gatherer)];
    const LinePtr line = std::make_shared<Line>(stage_.io(), gatherer);
    ++pool.open;
    line->request = request;
    line->again = again;
    busy_[request->number] = line;
    line->socket.async_connect(pool.to, [this, line](asio::error_code error) {
        if (line->over) return;
        if (error) return broken(line);
        asio::error_code ignored;
        line->socket.set_option(tcp::no_delay(true), ignored);
        read(line);
        write(line);
    });
}

void RealClients::assign(const LinePtr& line, const TryPtr& request) {
    line->request = request;
    line->again = false;
    busy_[request->number] = line;
    write(line);
}

std::string RealClients::text(const Try& t) const {
    const Scenario& s = stage_.world().scenario();
    const std::string& klass = s.classes[static_cast<std::size_t>(t.klass)].name;
    std::string targets;
    for (const TryPart& part : t.parts)
        targets += fmt::format("{}{{\"partition\":{},\"share\":{:.9f}}}", targets.empty() ? "" : ",",
                               part.slice, part.share);
    const std::string body = fmt::format("{{\"targets\":[{}],\"query\":\"{}\"}}", targets, t.id());
    const auto left = std::max(1LL, static_cast<long long>(t.expires - stage_.now()));
    return fmt::format(
        "POST /{0}/{1} HTTP/1.1\r\nHost: emulated\r\nX-Trace-Id: {2}\r\nX-Qos: {0}\r\nX-Expires-In-Ms: "
        "{3}\r\n"
        "{4}Content-Length: {5}\r\n\r\n{6}",
        klass, t.key, t.id(), left, t.repeat ? "X-Second-Try: 1\r\n" : "", body.size(), body);
}

void RealClients::write(const LinePtr& line) {
    line->written = false;
    line->out = text(*line->request);
    asio::async_write(line->socket, asio::buffer(line->out), [line](asio::error_code error, std::size_t) {
        if (!error) line->written = true;
    });
}

void RealClients::read(const LinePtr& line) {
    line->socket.async_read_some(
        line->in.prepare(8192), [this, line](asio::error_code error, std::size_t got) {
            if (line->over) return;
            if (error) return broken(line);
            line->in.commit(got);
            const net::HttpReader::State state = line->reader->parse();
            if (state == net::HttpReader::State::bad || state == net::HttpReader::State::tooLarge)
                return broken(line);
            if (state == net::HttpReader::State::complete) onAnswer(line);
            if (!line->over) read(line);
        });
}

void RealClients::onAnswer(const LinePtr& line) {
    if (!line->request) {  // a second answer to what was asked here last: the checker is to hear of it
        const std::uint64_t last = line->last;
        close(line);
        if (last != 0) stage_.enter([&](Millis now) { stage_.world().failed(now, last); });
        return;
    }
    const net::HttpMessage m = line->reader->message();
    const std::uint64_t number = line->request->number;
    const int status = m.status;
    const bool keep = m.keepAlive;
    const Millis after = retryAfter(m.header("Retry-After"));
    bool whole = false;
    std::vector<std::pair<int, std::string>> parts;
    if (status == 200) {
        const Json body = Json::parse(m.body.begin(), m.body.end(), nullptr, false);
        if (body.is_object()) {
            whole = body.value("whole", false);
            for (const Json& r : body.value("results", Json::array()))
                parts.emplace_back(r.value("partition", -1), r.value("value", std::string()));
        }
    }
    line->reader->next();
    line->last = number;
    busy_.erase(number);
    line->request = nullptr;
    line->used = true;
    // The connection is free before the world hears of the answer: what follows may use it.
    if (keep)
        release(line);
    else
        close(line);
    stage_.enter([&](Millis now) {
        World& world = stage_.world();
        if (status == 200)
            world.answered(now, number, whole, std::move(parts));
        else if (status == 429 || status == 503)
            world.refused(now, number, after);
        else
            world.failed(now, number);
    });
}

void RealClients::release(const LinePtr& line) {
    Pool& pool = pools_[static_cast<std::size_t>(line->gatherer)];
    while (!pool.waiting.empty()) {
        const TryPtr next = pool.waiting.front();
        pool.waiting.pop_front();
        if (stage_.world().desk().find(next->number)) return assign(line, next);
    }
    pool.idle.push_front(line);
}

void RealClients::close(const LinePtr& line) {
    if (line->over) return;
    line->over = true;
    asio::error_code ignored;
    line->socket.close(ignored);
    Pool& pool = pools_[static_cast<std::size_t>(line->gatherer)];
    pool.idle.remove(line);
    --pool.open;
    if (pool.waiting.empty()) return;
    const TryPtr next = pool.waiting.front();
    pool.waiting.pop_front();
    if (stage_.world().desk().find(next->number)) dial(line->gatherer, next, false);
}

void RealClients::broken(const LinePtr& line) {
    const TryPtr request = line->request;
    const bool begun = line->in.size() > 0;
    const bool crossed = line->used && !line->again && !begun;  // its close crossed the request
    line->request = nullptr;
    if (request) busy_.erase(request->number);
    close(line);
    if (!request) return;
    if (crossed) return dial(line->gatherer, request, true);
    stage_.enter([&](Millis now) { stage_.world().connectionFailed(now, request->number, line->written); });
}

void RealClients::leave(const TryPtr& request) {
    Pool& pool = pools_[static_cast<std::size_t>(request->gatherer)];
    std::erase_if(pool.waiting, [&](const TryPtr& t) { return t->number == request->number; });
    const auto found = busy_.find(request->number);
    if (found == busy_.end()) return;
    const LinePtr line = found->second;
    busy_.erase(found);
    line->request = nullptr;
    close(line);
}

}  // namespace beechpoint::emulator
