// The listener: accepts, keeps to the most connections, and closes those that take too long.
#include "net/server.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace beechpoint::net {

using asio::ip::tcp;

namespace {

constexpr auto kSweepEvery = std::chrono::milliseconds(250);
constexpr int kAcceptsAtOnce = 16;
constexpr auto kAcceptPause = std::chrono::milliseconds(10);
constexpr Millis kJustCame = 50;
constexpr Millis kIdleShort = 2000;  // from then on an idle connection may go at any time
constexpr int kSlowReader = 8;
constexpr int kNeverClosed = 9;

}  // namespace

HttpServer::HttpServer(asio::io_context& io, const Clock& clock, Logger& log, std::size_t maxConnections,
                       Handler handler)
    : io_(io),
      clock_(clock),
      log_(log),
      max_(maxConnections),
      handler_(std::move(handler)),
      acceptor_(io),
      timer_(io),
      timerAccept_(io) {}

HttpServer::~HttpServer() { closeAll(); }

void HttpServer::listen(const tcp::endpoint& at, bool shared) {
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (shared) acceptor_.set_option(ReusePort(true));
    asio::error_code ignored;
    if (receiveBuffer_ > 0)  // connections inherit it
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer_), ignored);
    acceptor_.bind(at);
    acceptor_.listen(receiveBuffer_ > 0 ? kMaxBacklog : asio::socket_base::max_listen_connections);
    acceptor_.non_blocking(true);
    accepting_ = true;
    accept();
    sweep();
}

void HttpServer::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this, alive = aliveToken()](asio::error_code error) {
        if (alive.expired() || error == asio::error::operation_aborted || !accepting_) return;
        acceptSome();
    });
}

// Where all connections have a request in hand, the next one waits in the backlog.
void HttpServer::acceptSome() {
    asio::error_code error;
    for (int i = 0; i < kAcceptsAtOnce && !error; ++i) {
        if (connections_.size() >= max_ && !makeRoom()) return acceptLater();
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error) adopt(std::move(socket));
    }
    if (!error) return accept();
    if (error == asio::error::would_block || error == asio::error::connection_aborted) return accept();
    // Out of descriptors, most likely: make room, and do not spin.
    log_.seldom("accept", "could not accept a connection: {}", field("error", error.message()));
    makeRoom();
    acceptLater();
}

void HttpServer::acceptLater() {
    timerAccept_.expires_after(kAcceptPause);
    timerAccept_.async_wait([this, alive = aliveToken()](asio::error_code error) {
        if (!alive.expired() && !error && accepting_) accept();
    });
}

// Closes the connection that is missed least: one that has its answer, one that never asked, half a message,
// one between requests; of each kind the oldest, and what came just now last, since its request may be on its
// way; at last one whose client has not taken all of a streamed answer for long. Never is another closed whose request has come.
bool HttpServer::makeRoom() {
    using State = HttpConnection::State;
    const Millis now = clock_.now();
    const auto rank = [now](const HttpConnection& c) {
        if (c.state_ == State::lingering) return 0;
        const bool readsSlowly = c.queuedSince_ > 0 && now - c.queuedSince_ > kIdleShort;
        if (c.state_ == State::streaming && readsSlowly) return kSlowReader;
        if (c.state_ != State::reading) return kNeverClosed;
        if (c.asked_ && c.idle()) return now - c.since_ > kIdleShort ? 3 : 4;
        return (c.idle() ? 1 : 2) + (now - c.since_ > kJustCame ? 0 : 4);
    };
    std::shared_ptr<HttpConnection> least;
    for (const auto& c : connections_) {
        const int r = rank(*c);
        const bool mayClose = r == 0 || r == kSlowReader || !c->unread();
        if (r < kNeverClosed && (!least || r < rank(*least)) && mayClose) least = c;
    }
    if (least) least->close();
    return least != nullptr;
}

void HttpServer::limit(std::size_t most) {
    max_ = most;
    while (connections_.size() > max_ && makeRoom())
        ;
}

void HttpServer::adopt(tcp::socket socket) {
    const auto connection = std::make_shared<HttpConnection>(*this, std::move(socket));
    connections_.push_back(connection);
    connection->place_ = std::prev(connections_.end());
    connection->start();
}

// What never comes whole, is not read or is not used must not hold a descriptor for ever.
void HttpServer::sweep() {
    timer_.expires_after(kSweepEvery);
    timer_.async_wait([this, alive = aliveToken()](asio::error_code error) {
        if (alive.expired() || error) return;
        std::vector<std::shared_ptr<HttpConnection>> late;
        const Millis now = clock_.now();
        for (const auto& c : connections_)
            if (c->late(now)) late.push_back(c);
        for (const auto& c : late) {
            if (c->state_ != HttpConnection::State::reading) {
                c->close();
            } else if (c->lateToRead(now)) {
                continue;             // what has come is read first
            } else if (!c->idle()) {  // half a message: its client hears why
                c->state_ = HttpConnection::State::handling;
                c->keepAlive_ = c->noBody_ = false;
                c->respond(408, "text/plain", "the request did not come whole in time\n");
            } else {
                c->close();
            }
        }
        sweep();
    });
}

void HttpServer::stopAccepting() {
    if (!accepting_) return;
    accepting_ = false;
    timerAccept_.cancel();
    for (asio::error_code error; !error;) {  // what waits in the backlog counts as accepted
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error) adopt(std::move(socket));
    }
    asio::error_code ignored;
    acceptor_.close(ignored);
}

// A request that has come but was not read yet counts as taken: such a connection stays for its answer.
void HttpServer::closeIdle(Millis longerThan) {
    std::vector<std::shared_ptr<HttpConnection>> idle;
    const Millis before = clock_.now() - longerThan;
    for (const auto& c : connections_) {
        if (c->idle() && c->since_ <= before && !c->unread()) idle.push_back(c);
    }
    for (const auto& c : idle) c->close();
}

void HttpServer::closeAll() {
    accepting_ = false;
    asio::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    timerAccept_.cancel();
    while (!connections_.empty()) connections_.front()->close();
}

}  // namespace beechpoint::net
