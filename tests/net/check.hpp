// The one helper of the network tests: a check that no build flag removes, a loop that ends, and stand-ins
// for clients, track hosts and discovery, all on loopback and on one thread.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "back/frame.hpp"
#include "gatherer.hpp"
#include "net/http.hpp"

#define CHECK(...)                                                                               \
    do {                                                                                         \
        if (!(__VA_ARGS__)) {                                                                    \
            std::fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__, __LINE__, #__VA_ARGS__); \
            std::exit(1);                                                                        \
        }                                                                                        \
    } while (false)

namespace beechpoint::test {

using asio::ip::tcp;

inline const tcp::endpoint kAnyPort(asio::ip::address_v4::loopback(), 0);

// Runs the loop until `done`; the limit only ends a test that hangs.
template <class F>
void until(asio::io_context& io, F done) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
        CHECK(std::chrono::steady_clock::now() < limit);
        io.restart();
        io.run_one_for(std::chrono::milliseconds(100));
    }
}

// One side of a connection.
struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket s) : socket(std::move(s)) {}
    void read(std::function<void()> then) {
        socket.async_read_some(in.prepare(4096),
                               [self = shared_from_this(), then](auto error, std::size_t n) {
                                   if (self->ended) return;  // closed on this side
                                   if (error) {
                                       self->ended = true;
                                   } else {
                                       self->in.commit(n);
                                   }
                                   then();
                                   if (!error && !self->ended) self->read(then);
                               });
    }
    void send(const std::string& bytes) {
        asio::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        if (error) ended = true;
    }
    void close() {
        ended = true;
        asio::error_code ignored;
        socket.close(ignored);
    }
    tcp::socket socket;
    net::Buffer in;
    bool ended = false;
};
using PeerPtr = std::shared_ptr<Peer>;

class Listener {
public:
    explicit Listener(asio::io_context& io) : acceptor_(io, kAnyPort) { accept(); }
    virtual ~Listener() {
        for (const PeerPtr& peer : peers) peer->close();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::vector<PeerPtr> peers;

protected:
    virtual void onData(Peer& peer) = 0;

private:
    void accept() {
        acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) return;
            const PeerPtr peer = std::make_shared<Peer>(std::move(socket));
            peers.push_back(peer);
            peer->read([this, raw = peer.get()] { onData(*raw); });
            accept();
        });
    }
    tcp::acceptor acceptor_;
};

// A track host, in frames. What it does with a part is the test's.
class FrameHost : public Listener {
public:
    struct Part {
        Peer& peer;
        std::string id;
        int slice;
        std::string text;
        void answer(const std::string& end, const std::string& value, const std::string& report = "-") const {
            std::string frame;
            back::writeFrame(frame, 'R', id + " " + end + " 1 " + report + "\n" + value);
            peer.send(frame);
        }
    };
    using Listener::Listener;
    std::function<void(const Part&)> onPart = [](const Part& p) {
        p.answer("done", "v" + std::to_string(p.slice));
    };
    std::vector<std::string> got;  // letter and rest of each frame

protected:
    void onData(Peer& peer) override {
        back::Frame frame;
        while (!peer.ended && back::readFrame(peer.in.view(), frame) == back::FrameState::complete) {
            std::string rest(frame.rest);
            const char letter = frame.letter;
            peer.in.consume(frame.size);
            got.push_back(letter + rest);
            if (letter == 'M') peer.send(std::string("\0\0\0\2M-", 6));
            while (letter == 'S' && !rest.empty()) {
                const auto feed = rest.find('\n');
                const std::string line = rest.substr(0, feed);
                const auto a = line.find(' '), b = line.find(' ', a + 1), c = line.rfind(' ');
                const auto length = std::stoul(line.substr(c + 1));
                const Part part{peer, line.substr(0, a), std::stoi(line.substr(a + 1, b - a - 1)),
                                rest.substr(feed + 1, length)};
                rest.erase(0, feed + 1 + length);
                onPart(part);
            }
        }
    }
};

// Whoever is asked over HTTP: a track host of the query API, or discovery's agent.
class HttpHost : public Listener {
public:
    struct Ask {
        Peer& peer;
        std::string target, body;
        void answer(int status, const std::string& text) const {
            peer.send(net::response(status, "application/json", text, true));
        }
    };
    using Listener::Listener;
    std::function<void(const Ask&)> onAsk = [](const Ask&) {};
    std::vector<std::string> targets;

protected:
    void onData(Peer& peer) override {
        net::HttpReader reader(net::HttpReader::Kind::request, peer.in);
        while (!peer.ended && reader.parse() == net::HttpReader::State::complete) {
            const net::HttpMessage m = reader.message();
            const Ask ask{peer, std::string(m.target), std::string(m.body)};
            reader.next();
            targets.push_back(ask.target);
            onAsk(ask);
        }
    }
};

struct Answer {
    int status = 0;
    std::string head, body;
    bool keepAlive = false;
    bool has(const std::string& text) const { return (head + body).find(text) != std::string::npos; }
};

// A client's connection; requests may be sent ahead, answers come in order.
class Client {
public:
    Client(asio::io_context& io, const tcp::endpoint& to) : io_(io) {
        tcp::socket socket(io);
        socket.connect(to);
        peer = std::make_shared<Peer>(std::move(socket));
        reader_ = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, peer->in,
                                                    net::HttpReader::OnBody{}, 1 << 20);
        peer->read([this] { onData(); });
    }
    ~Client() { peer->close(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    void send(const std::string& bytes) { peer->send(bytes); }
    Answer ask(const std::string& bytes) {
        const std::size_t before = answers.size();
        send(bytes);
        until(io_, [&] { return answers.size() > before; });
        return answers.back();
    }
    PeerPtr peer;
    std::vector<Answer> answers;
    std::function<void(const Answer&)> onAnswer = [](const Answer&) {};

private:
    void onData() {
        while (reader_->parse() == net::HttpReader::State::complete) {
            const net::HttpMessage m = reader_->message();
            Answer a{m.status, {}, std::string(m.body), m.keepAlive};
            for (const auto& [name, value] : m.headers)
                a.head.append(name).append(": ").append(value).append("\n");
            reader_->next();
            answers.push_back(a);
            onAnswer(a);
        }
    }
    asio::io_context& io_;
    std::unique_ptr<net::HttpReader> reader_;
};

inline std::string post(const std::string& target, const std::string& headers, const std::string& body) {
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A query of class `klass` for the given slices.
inline std::string query(const std::string& id, const std::vector<int>& slices, int ms = 3000,
                         const std::string& text = "q", const std::string& klass = "pallet-lookup") {
    std::string targets;
    for (const int s : slices)
        targets += (targets.empty() ? "" : ",") + ("{\"partition\":" + std::to_string(s)) +
                   ",\"share\":" + std::to_string(1.0 / static_cast<double>(slices.size())) + "}";
    return post(
        "/" + klass + "/k1",
        "X-Trace-Id: " + id + "\r\nX-Qos: " + klass + "\r\nX-Expires-In-Ms: " + std::to_string(ms) + "\r\n",
        "{\"targets\":[" + targets + "],\"query\":\"" + text + "\"}");
}

inline firkeel::Settings settings() {
    firkeel::Settings s;
    firkeel::ClassSettings c;
    c.name = "pallet-lookup";
    c.aim = 1'200'000'000;
    c.deadline = 3'000'000'000;
    s.classes.push_back(c);
    c.name = "day-report";
    c.aim = 2'000'000'000;
    c.deadline = 5'000'000'000;
    s.classes.push_back(c);
    s.shards = 4;
    s.cells = 2;
    s.span = 2;
    s.tick = 5'000'000;
    s.answerSlack = 20'000'000;
    s.dialTimeout = 250'000'000;
    s.maxAttempts = 3;
    s.openCap = 128;
    s.parallelTries = s.cancelling = s.probing = s.retryAfter = true;
    s.maxRetryAfter = 500'000'000;
    s.reports = firkeel::Reports::withAnswers;
    return s;
}

inline HostEntry host(const std::string& id, const std::string& address, int cell = 0,
                      firkeel::ServerState state = firkeel::ServerState::up) {
    HostEntry h;
    h.entry.id = id;
    h.entry.cell = cell;
    h.entry.state = state;
    h.address = address;
    return h;
}

// A gatherer in front of the hosts given, each of which holds every slice.
struct Rig {
    explicit Rig(std::vector<std::string> hosts, std::function<void(Config&)> change = {}) {
        agent.onAsk = [](const HttpHost::Ask&) {};  // silent, as discovery may be
        config.name = "n0";
        config.listen = kAnyPort;
        config.discovery = agent.endpoint();
        config.settings = settings();
        config.connections.calls = 32;
        config.known.list.kind = firkeel::ListKind::remembered;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            config.known.list.entries.push_back(
                host("h" + std::to_string(i), hosts[i], static_cast<int>(i % 2)));
        if (change) change(config);
        gatherer = std::make_unique<Gatherer>(io, config, clock, counters, log);
        gatherer->start();
    }
    ~Rig() {  // what is queued already would run on a gatherer that is gone
        io.restart();
        io.poll();
    }
    std::uint64_t count(Counter c) const { return counters.get(c); }
    asio::io_context& io = loop();
    Clock clock;
    Counters counters;
    Logger log{clock};
    HttpHost agent{io};
    Config config;
    std::unique_ptr<Gatherer> gatherer;

    static asio::io_context& loop() {
        static asio::io_context io(1);
        return io;
    }
};

}  // namespace beechpoint::test
