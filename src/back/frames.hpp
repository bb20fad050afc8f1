// The server side in the platform's frames: connections to track hosts, and what is out on them.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "back/frame.hpp"
#include "core/exchange.hpp"
#include "net/buffer.hpp"

namespace beechpoint::back {

struct ConnectionLimits {
    Millis dialTimeout = 250;
    Millis idle = 30'000;    // the track host closes an idle connection by then
    std::size_t calls = 1;   // at once on a connection
    std::size_t bundle = 1;  // parts in a call
};

// "address:port"; nothing where it is malformed.
std::optional<asio::ip::tcp::endpoint> readEndpoint(const std::string& text);

class FrameConnection;

class FrameHosts : public TrackHosts {
public:
    FrameHosts(asio::io_context& io, const Clock& clock, Counters& counters, Logger& log, Exchange& exchange,
               ConnectionLimits limits);
    ~FrameHosts() override;
    void update(const HostList& list) override;
    void send(Attempt attempt) override;
    void flush() override;
    void abandon(AttemptId attempt) override;
    void probe(const std::string& server) override;
    void close();

private:
    friend class FrameConnection;
    using Connection = std::shared_ptr<FrameConnection>;
    struct Host {
        std::optional<asio::ip::tcp::endpoint> endpoint;
        bool listed = true;
        std::vector<Connection> connections;
    };
    Connection pick(const std::string& server, Host& host);
    void sweep();

    asio::io_context& io_;
    const Clock& clock_;
    Counters& counters_;
    Logger& log_;
    Exchange& exchange_;
    ConnectionLimits limits_;
    asio::steady_timer timer_;
    std::map<std::string, Host> hosts_;
    std::map<std::string, std::vector<Attempt>> sent_;  // since the last flush, by host
    std::map<AttemptId, std::weak_ptr<FrameConnection>> at_;
};

// One connection. Calls wait in it unread until it is up and has room.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
    FrameConnection(FrameHosts& owner, std::string server);
    void dial(const asio::ip::tcp::endpoint& to);
    void call(std::vector<Attempt> parts);
    void abandon(AttemptId attempt);
    void probe();
    void retire();  // nothing new comes; closes once nothing is out
    void close(bool quiet);

    bool open() const { return state_ == State::open && !retired_; }
    bool usable() const { return state_ != State::closed && !retired_; }
    std::size_t load() const { return calls_.size() + waiting_.size(); }
    bool carries(const std::string& partId) const { return out_.contains(partId); }
    bool idle() const { return out_.empty() && waiting_.empty() && probes_.empty() && !writing_; }
    Millis idleSince() const { return lastUse_; }

private:
    enum class State { dialing, open, closed };
    struct OutPart {
        AttemptId id;
        std::uint64_t call = 0;
        bool written = false;
    };
    struct Mark {  // where a part's frame ends in what is being written
        std::size_t end;
        std::string part;
        std::uint64_t call;
    };
    struct ProbeOut {
        Millis sentAt;
        std::shared_ptr<asio::steady_timer> timer;
        bool over = false;
    };
    void fill();
    void onWritten(asio::error_code error, std::size_t count);
    void read();
    bool onFrame(const Frame& frame);
    void onResult(const Result& result);
    void onProbe(Outcome outcome, Load load);
    void release(std::unordered_map<std::string, OutPart>::iterator part);
    void used();

    FrameHosts& owner_;
    std::string server_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    net::Buffer in_;
    State state_ = State::dialing;
    bool retired_ = false, writing_ = false, filling_ = false;
    std::deque<std::vector<Attempt>> waiting_;      // calls not yet written
    std::unordered_map<std::string, OutPart> out_;  // by the part's id on the wire
    std::map<std::uint64_t, std::size_t> calls_;    // places taken: parts still out of each call
    std::uint64_t lastCall_ = 0;
    std::string more_, outgoing_;  // frames without a part, and what is being written
    std::vector<Mark> marks_;
    std::deque<std::shared_ptr<ProbeOut>> probes_;
    Millis lastUse_ = 0;
};

}  // namespace beechpoint::back
