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

#include "backend/frame.hpp"
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
    void read(std::function<void()> then);
    void send(const std::string& bytes);
    void close();
    tcp::socket socket;
    net::Buffer in;
    bool ended = false;
};
using PeerPtr = std::shared_ptr<Peer>;

class Listener {
public:
    explicit Listener(asio::io_context& io);
    virtual ~Listener();
    std::string address() const;
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::vector<PeerPtr> peers;

protected:
    virtual void onData(Peer& peer) = 0;

private:
    void accept();
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
        void answer(const std::string& end, const std::string& value, const std::string& report = "-") const;
    };
    using Listener::Listener;
    std::function<void(const Part&)> onPart = [](const Part& p) {
        p.answer("done", "v" + std::to_string(p.slice));
    };
    std::vector<std::string> got;  // letter and rest of each frame

protected:
    void onData(Peer& peer) override;
};

// Whoever is asked over HTTP: a track host of the query API, or discovery's agent.
class HttpHost : public Listener {
public:
    struct Ask {
        Peer& peer;
        std::string target, body;
        void answer(int status, const std::string& text) const;
    };
    using Listener::Listener;
    std::function<void(const Ask&)> onAsk = [](const Ask&) {};
    std::vector<std::string> targets;

protected:
    void onData(Peer& peer) override;
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
    Client(asio::io_context& io, const tcp::endpoint& to);
    ~Client() { peer->close(); }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    void send(const std::string& bytes) { peer->send(bytes); }
    Answer ask(const std::string& bytes);
    PeerPtr peer;
    std::vector<Answer> answers;
    std::function<void(const Answer&)> onAnswer = [](const Answer&) {};

private:
    void onData();
    asio::io_context& io_;
    std::unique_ptr<net::HttpReader> reader_;
};

std::string post(const std::string& target, const std::string& headers, const std::string& body);

// A query of class `klass` for the given slices.
std::string query(const std::string& id, const std::vector<int>& slices, int ms = 3000,
                  const std::string& text = "q", const std::string& klass = "pallet-lookup");

coordinator::Settings settings();

HostEntry host(const std::string& id, const std::string& address, int cell = 0,
               coordinator::ServerState state = coordinator::ServerState::up);

// A gatherer in front of the hosts given, each of which holds every slice.
struct Rig {
    explicit Rig(std::vector<std::string> hosts, std::function<void(Config&)> change = {});
    ~Rig();
    std::uint64_t count(Counter c) const { return counters.get(c); }
    asio::io_context& io = loop();
    Clock clock;
    Counters counters;
    Logger log{clock};
    HttpHost agent{io};
    Config config;
    std::unique_ptr<Gatherer> gatherer;

    static asio::io_context& loop();
};

}  // namespace beechpoint::test
