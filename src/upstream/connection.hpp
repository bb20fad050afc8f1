// One connection to a host: dials, carries one exchange at a time, and lies unused in between. Part of Upstream.
//
//   state      events
//   dialling   connected -> busy; refused, dial timeout -> closed
//   busy       answer whole -> unused or closed; failure, timeout, abandon() -> closed
//   unused     use() -> busy; bytes or end from the host, idle time over, close() -> closed
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/buffer.hpp"
#include "net/framing.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

// One request and how far it has come. Shared, so that it outlives the handler that ends it.
struct Exchange {
    Handle handle = 0;
    Request request;
    Handlers handlers;
    std::chrono::steady_clock::time_point deadline;
    bool sent = false, headSeen = false, reused = false, paused = false;
};
using ExchangePtr = std::shared_ptr<Exchange>;

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

// Who keeps the connections. Called before the exchange's own handler.
class ConnectionOwner {
public:
    // The exchange is over. `connection` is unused or closed by then.
    virtual void onExchangeOver(const ExchangePtr& exchange) = 0;
    // May close the connection, which is unused now.
    virtual void onUnused(const ConnectionPtr& connection) = 0;
    virtual void onClosed(const ConnectionPtr& connection) = 0;

protected:
    ~ConnectionOwner() = default;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::io_context& io, const Clock& clock, const UpstreamSettings& settings,
               UpstreamCounts& counts, ConnectionOwner& owner, HostAddress host);

    void dial(ExchangePtr exchange);
    // Sends on an unused connection, after usable().
    void use(ExchangePtr exchange);
    // Whether the host has neither ended the unused connection nor sent anything on it.
    bool usable();
    // Whether a request with that id was among the last kIdsRemembered on this connection. A surplus answer to that one would
    // be taken for the answer to a second: a connection carries each id once.
    bool hasCarried(std::string_view attemptId) const;
    // Drops the exchange in hand without a word and closes.
    void abandon();
    // Ends the exchange in hand with that failure and closes.
    void fail(FailureKind kind, std::string message);
    void resumeReading();
    void close();

    const HostAddress& host() const { return host_; }
    const ExchangePtr& exchange() const { return exchange_; }

private:
    static constexpr std::size_t kIdsRemembered = 32;
    enum class State { dialling, busy, unused, closed };
    using Timepoint = std::chrono::steady_clock::time_point;

    void setTimer(Timepoint at);
    void onTimer();
    void onConnected(asio::error_code error);
    void sendRequest();
    void rememberId(std::string_view attemptId);
    void write();
    void read();
    void onReadable();
    void onHostEnded(asio::error_code error);
    void takeAnswer();
    bool takeHead();
    void passHead(const net::MessageHead& head, const net::BodyFraming& framing);
    bool belongs(const net::MessageHead& head) const;
    void takeBody();
    void finishAnswer();
    void becomeUnused();
    void resetSocket();
    Millis idleTime() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    const Clock& clock_;
    const UpstreamSettings& settings_;
    UpstreamCounts& counts_;
    ConnectionOwner& owner_;  // not touched once closed
    HostAddress host_;
    State state_ = State::dialling;
    std::uint64_t timerTurn_ = 0;  // which of the timer's settings is in force
    ExchangePtr exchange_;
    Millis dialBegan_ = 0, connectTime_ = 0;
    std::vector<std::size_t> carriedIds_;  // hashes; a ring once it is full
    std::size_t carried_ = 0;              // requests so far
    std::string head_;                     // of the request
    std::size_t written_ = 0;              // bytes of head and body that the system has
    bool writeFailed_ = false, requestSent_ = false;
    bool waitsReadable_ = false, waitsWritable_ = false;
    net::Buffer buffer_;
    net::BodyDecoder decoder_;
    bool answerBegun_ = false;  // its final head has come
    int interimHeads_ = 0;      // 1xx before it
    bool reusable_ = false;
    std::optional<Millis> hostIdle_;  // what the host states in Keep-Alive
};

}  // namespace beechpoint::upstream
