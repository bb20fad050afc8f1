// Watches discovery for changes of the list of track hosts, for as long as the program runs.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/exchange.hpp"
#include "discovery/hostlist.hpp"
#include "net/http.hpp"

namespace beechpoint::discovery {

struct WatchTimes {
    Millis silence = 3000;  // a watch without any line for longer is dead: an empty one comes every 2 s
    Millis connect = 1000;  // the agent is on the own machine
    Millis again = 250;     // between two tries
};

class Watch {
public:
    using OnList = std::function<void(const HostList&)>;
    Watch(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log,
          asio::ip::tcp::endpoint agent, std::int64_t generation, OnList onList, WatchTimes times = {});
    ~Watch() { stop(); }
    void start();
    void stop();
    // Goes on at another agent's address, from the generation reached; the list as known holds meanwhile.
    void move(const asio::ip::tcp::endpoint& agent);
    std::int64_t generation() const { return generation_; }

private:
    struct Connection {
        explicit Connection(asio::io_context& io) : socket(io) {}
        asio::ip::tcp::socket socket;
        net::Buffer buffer;
        std::unique_ptr<net::HttpReader> reader;
        std::string line, request;
        bool dead = false;
    };
    using Held = std::shared_ptr<Connection>;
    void ask(const Held& c);
    void read(const Held& c);
    void onBody(Connection& c, std::string_view bytes);
    void onLine(std::string_view line);
    void broken(const Held& c, const std::string& why);
    void heard() { expectWithin(times_.silence); }
    void expectWithin(Millis wait);
    void drop();

    asio::io_context& io_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    asio::ip::tcp::endpoint agent_;
    std::int64_t generation_;
    OnList onList_;
    WatchTimes times_;
    asio::steady_timer silence_, again_;
    Held connection_;
    bool stopped_ = false;
};

}  // namespace beechpoint::discovery
