// What every server side has: the track hosts by name, the connections to them, and where each attempt is.
// What is spoken on a connection is its own class's business.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/exchange.hpp"
#include "net/buffer.hpp"

namespace beechpoint::backend {

struct ConnectionLimits {
    Millis dialTimeout = 250;
    Millis idle = 30'000;      // the track host closes an idle connection by then
    std::size_t calls = 1;     // at once on a connection
    std::size_t bundle = 1;    // parts in a call
    std::size_t perHost = 16;  // connections to one host
    std::size_t total = 400;   // to all of them: descriptors are few
    int sendBuffer =
        128 * 1024;  // bytes: what stands there can't be taken back once nobody wants it any more
};

// "address:port"; nothing where it is malformed.
std::optional<asio::ip::tcp::endpoint> readEndpoint(const std::string& text);

inline std::chrono::microseconds micros(Millis ms) {
    return std::chrono::microseconds(static_cast<long long>(ms * 1000));
}

class Pool;

// One connection. Calls wait in it unread until it is up and has room.
class HostConnection : public std::enable_shared_from_this<HostConnection> {
public:
    HostConnection(Pool& pool, std::string server);
    virtual ~HostConnection() = default;
    void dial(const asio::ip::tcp::endpoint& to);
    void call(std::vector<Attempt> parts);
    void probe();
    virtual void abandon(AttemptId attempt) = 0;
    void retire();  // nothing new comes; closes once nothing is out
    // How a connection ends. quiet: nothing is reported. broken: what was out is reported as lost, or as
    // never run where its frame's last byte had not been written. spoilt: closed here, since what comes can't
    // be understood any more: what was out is given up, which says nothing against the host.
    enum class End { quiet, broken, spoilt };
    void close(End end);

    bool open() const { return state_ == State::open && !retired_; }
    bool usable() const { return state_ != State::closed && !retired_ && !suspect_; }
    bool spare() const { return state_ == State::dialing && waiting_.empty(); }  // on its way, for nobody yet
    std::size_t load() const { return callsOut() + waiting_.size(); }
    bool idle() const { return !partsOut() && waiting_.empty() && probes_.empty() && !writing_; }
    Millis idleSince() const { return lastUse_; }
    // Since when something has been out on it with nothing heard; nothing where nothing is out.
    std::optional<Millis> quietSince() const;
    bool quiet() const;  // for too long to send anything new there

protected:
    enum class State { dialing, open, closed };
    struct Lost {
        AttemptId id;
        bool written;  // its last byte, for all that is known
    };
    virtual std::size_t callsOut() const = 0;  // places taken at the host, for all that is known
    virtual bool partsOut() const = 0;         // an answer is waited for
    virtual void read() = 0;
    virtual void fill() = 0;               // writes what may be written now
    virtual void askProbe() = 0;           // queues a probe's bytes
    virtual std::vector<Lost> lost() = 0;  // all that is out, which it gives up
    // When the oldest part that is out was sent, where that is known.
    virtual std::optional<Millis> oldestOut() const { return std::nullopt; }
    void heard();
    void probeEnded(Outcome outcome, Load load);
    // Whether a part that waited may still be written: its host may drain by now, its query be over, its time
    // be up.
    bool claim(const Attempt& attempt);
    void ended(AttemptId attempt, Outcome outcome, std::string_view value, Load load);
    void used();
    // The host has ended the connection and nobody has looked yet: what is written now would count as perhaps run.
    bool peerEnded();
    void closeIfDone();
    void handBack();  // what waits here goes to another connection
    // There is room and nothing waits here: takes what waits on the host's other connections, for a dial or a place.
    void takeOver();

    Pool& pool_;
    std::string server_;
    asio::ip::tcp::socket socket_;
    net::Buffer in_;
    State state_ = State::dialing;
    bool retired_ = false, writing_ = false;
    bool suspect_ = false;  // part of a message has come and the rest has not: nothing new goes on it
    std::deque<std::vector<Attempt>> waiting_;  // calls not yet written

private:
    struct ProbeOut {
        Millis sentAt;
        std::shared_ptr<asio::steady_timer> timer;
        bool over = false;
    };
    void awaitDial(double share);
    bool awaited();

    asio::steady_timer timer_;
    std::deque<std::shared_ptr<ProbeOut>> probes_;
    Millis lastUse_ = 0, heard_ = 0;
};

class Pool : public TrackHosts {
public:
    using Connection = std::shared_ptr<HostConnection>;
    using Make = std::function<Connection(Pool&, const std::string& server)>;
    Pool(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log, Exchange& exchange,
         ConnectionLimits limits, Make make);
    ~Pool() override;
    void update(const HostList& list) override;
    void send(Attempt attempt) override;
    void flush() override;
    void abandon(AttemptId attempt) override;
    void probe(const std::string& server) override;
    void close();
    void limit(std::size_t total) { limits_.total = total; }  // connections from now on
    // A part that was sent at `sentAt` has been answered on a connection to the host.
    void answered(const std::string& server, Millis sentAt);
    std::size_t connections() const { return connections_; }
    Millis quietAfter() const;

    asio::io_context& io() { return io_; }
    const Clock& clock() const { return clock_; }
    Counters& counters() { return counters_; }
    Logger& log() { return log_; }
    Exchange& exchange() { return exchange_; }
    const ConnectionLimits& limits() const { return limits_; }

private:
    friend class HostConnection;
    struct Host {
        std::optional<asio::ip::tcp::endpoint> endpoint;
        bool listed = true;
        Millis upAt = -1e300;  // when a connection came up last
        std::vector<Connection> connections;
    };
    Connection pick(const std::string& server, Host& host);
    Connection dial(const std::string& server, Host& host);
    void dialBeside(const std::string& server);
    bool makeRoom();
    void sweep();

    asio::io_context& io_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    Exchange& exchange_;
    ConnectionLimits limits_;
    Make make_;
    asio::steady_timer timer_;
    std::size_t connections_ = 0;
    Millis meanTime_ = 0;  // from a part's sending to its answer, of late
    std::map<std::string, Host> hosts_;
    std::map<std::string, std::vector<Attempt>> sent_;  // since the last flush, by host
    std::map<AttemptId, std::weak_ptr<HostConnection>> at_;
};

}  // namespace beechpoint::backend
