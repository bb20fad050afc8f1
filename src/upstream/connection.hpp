/// One connection to a host: dials, carries one exchange at a time, and stays unused in between. Private to the module; its
/// handlers keep it alive until their operations have ended. Called from the loop's thread only.
///
///   state      events
///   dialling   connected -> busy; refused, dial time-out -> closed
///   busy       answer complete -> unused or closed; failure, time-out, abandon() -> closed
///   unused     use() -> busy; bytes or end from the host, idle time over, close() -> closed
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
#include "upstream/answer_head_reader.hpp"
#include "upstream/exchange.hpp"
#include "upstream/request_writer.hpp"

namespace beechpoint::upstream {

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// The owner of the connections. Called before the exchange's own handler.
class ConnectionOwner {
public:
    /// The exchange is over. Its connection is unused or closed by then.
    virtual void onExchangeOver(const ExchangePtr& exchange) = 0;
    /// May close the connection, which is unused now.
    virtual void onUnused(const ConnectionPtr& connection) = 0;
    /// Called once; the connection does not touch its owner any more.
    virtual void onClosed(const ConnectionPtr& connection) = 0;

protected:
    ~ConnectionOwner() = default;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    /// All references must outlive it until it is closed.
    Connection(asio::io_context& io, const Clock& clock, const UpstreamSettings& settings,
               UpstreamCounts& counts, ConnectionOwner& owner, HostAddress host);

    /// Connects and sends the exchange's request. Once, first of all.
    void dial(ExchangePtr exchange);
    /// Sends on an unused connection, after usable().
    void use(ExchangePtr exchange);
    /// Whether the host has neither ended the unused connection nor sent anything on it.
    [[nodiscard]] bool usable();
    /// Whether a request with that id was among the last kIdsRemembered on this connection. A surplus answer to that one would
    /// be taken for the answer to a second: a connection carries each id once.
    [[nodiscard]] bool hasCarried(std::string_view attemptId) const;
    /// Drops the exchange under way without calling its handlers, and closes.
    void abandon();
    /// Ends the exchange under way with that failure, and closes.
    void fail(FailureKind kind, std::string message);
    /// After the exchange's `paused` was cleared.
    void resumeReading();
    void close();

    [[nodiscard]] const HostAddress& host() const { return host_; }
    /// Null: none is under way.
    [[nodiscard]] const ExchangePtr& exchange() const { return exchange_; }

private:
    static constexpr std::size_t kIdsRemembered = 32;
    enum class State { dialling, busy, unused, closed };
    using Timepoint = std::chrono::steady_clock::time_point;

    void connect();
    void onConnected(asio::error_code error);
    void sendRequest();
    void rememberId(std::string_view attemptId);
    void write();

    void read();
    void onReadable();
    void onUnusedReadable();
    void onHostEnded(asio::error_code error);
    void readAnswer();
    bool readHead();
    bool readInterimHead(std::size_t size);
    void passHead(const ReceivedHead& received);
    void readBody();

    void finishAnswer();
    void becomeUnused();
    Millis idleTime() const;
    void setTimer(Timepoint at);
    void onTimer();
    void resetOnClose();

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
    Millis dialBegan_ = 0;
    Millis connectTime_ = 0;               // 0: this exchange did not dial
    std::vector<std::size_t> carriedIds_;  // hashes; a ring once it is full
    std::size_t carried_ = 0;              // requests so far
    RequestWriter writer_;
    bool awaitsReadable_ = false;
    net::Buffer buffer_;  // bytes received and not used yet
    net::BodyDecoder decoder_;
    bool answerBegun_ = false;  // its final head has come
    int interimHeads_ = 0;      // 1xx before it
    bool reusable_ = false;
    std::optional<Millis> hostIdle_;  // what the host states in Keep-Alive
};

}  // namespace beechpoint::upstream
