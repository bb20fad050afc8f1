// Watches discovery for changes of the list of track hosts, for as long as the program runs.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/exchange.hpp"
#include "discovery/hostlist.hpp"
#include "net/http.hpp"

namespace beechpoint::discovery {

struct WatchTimes {
    Millis silence = 3000;  // a watch without any line for longer is dead: an empty one comes every 2 s
    // The agent is on the own machine: from the dial until its answer begins. It may be silent and then back, and what it has
    // counts as told at once, while work may go to a draining host for 1 s at most: connect + 2 again stay below that.
    Millis connect = 500;
    Millis again =
        200;  // between two tries, and up to as much more by chance, so that gatherers don't ask in step
    Millis againBad = 2000;  // at most between two tries where what comes can't be used, time after time
    std::uint64_t seed = 1;
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
        std::string request, object;                         // so far: an object may be spread over lines
        int depth = 0;                                       // of braces in it
        bool inText = false, escaped = false, blank = true;  // blank: nothing on this line yet
        bool answered = false, dead = false;
    };
    using Held = std::shared_ptr<Connection>;
    void ask(const Held& c);
    void read(const Held& c);
    void onBody(Connection& c, std::string_view bytes);
    void onObject(const Held& c);
    void onBad(const Held& c, const std::string& why);
    bool live() const { return connection_ && !connection_->dead; }
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
    // Each handler tells by itself that it is late: a timer that was set anew can't take back what was queued already.
    asio::steady_timer silence_, again_;
    Held connection_;
    std::minstd_rand random_;
    int bad_ = 0;  // tries in a row that brought what can't be used
    bool stopped_ = false;
};

}  // namespace beechpoint::discovery
