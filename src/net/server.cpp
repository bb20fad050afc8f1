#include "net/server.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <vector>

namespace beechpoint::net {

using asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kReadAhead = 16 * kReadSize;  // while a request is in hand, so that an end behind bytes is soon seen
// A client may send ahead while its request is in hand. More than this is read and thrown away: it can't fill the memory, and its
// end, which lies behind, is seen.
constexpr std::size_t kMostAhead = kMaxBody + 2 * kMaxHead;
constexpr auto kSweepEvery = std::chrono::milliseconds(250);
constexpr int kAcceptsAtOnce = 16;
constexpr auto kAcceptPause = std::chrono::milliseconds(10);
// Those who send nothing, or no whole message, hear so or are closed well inside 3 s of their connecting.
constexpr Millis kSilent = 2000;
constexpr Millis kPartialMessage = 2000;
constexpr Millis kJustCame = 50;
constexpr Millis kIdleShort = 2000;  // from then on an idle connection may go at any time
constexpr int kNeverClosed = 9;
constexpr Millis kIdle = 10'000;        // between requests; less where room is short
constexpr Millis kWriteWithin = 5000;   // a client that does not read its answer
constexpr Millis kLinger = 500;         // for the client's end after the last answer
constexpr Millis kLingerBroken = 3000;  // while it still sends what was refused

}  // namespace

HttpConnection::HttpConnection(HttpServer& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      reader_(HttpReader::Kind::request, buffer_),
      since_(server.clock_.now()),
      receivedAt_(since_) {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);  // a read that finds nothing after all must not hold up the loop
}

// Waits for bytes without a buffer for them: hundreds of idle connections must not hold one each.
void HttpConnection::read() {
    if (readOut_ || state_ == State::closed) return;
    readOut_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](asio::error_code error) {
        self->readOut_ = false;
        if (self->state_ == State::closed) return;
        error ? self->onEnd() : self->onReadable();
    });
}

void HttpConnection::onReadable() {
    asio::error_code error;
    if (state_ != State::lingering && !farAhead_ && buffer_.size() > kMostAhead) {
        farAhead_ = broken_ = true;
        server_.log_.seldom("far ahead", "a client sent over {} bytes ahead of its answer: the rest is thrown away",
                            field("bytes", kMostAhead));
        if (server_.farAhead_) server_.farAhead_();
    }
    if (state_ == State::lingering || farAhead_) {  // thrown away
        // MSG_TRUNC: the system drops the bytes without copying them, so that 60 MB cost next to nothing.
        static std::array<char, 256 * 1024> sink;
        socket_.receive(asio::buffer(sink), MSG_TRUNC, error);
    } else {
        const std::size_t ahead = std::min(kReadAhead, kMostAhead + kReadSize - std::min(buffer_.size(), kMostAhead));
        const std::size_t room = state_ == State::reading ? kReadSize : ahead;
        const std::size_t got = socket_.read_some(buffer_.prepare(room), error);
        if (!error) {
            receivedAt_ = server_.clock_.now();
            buffer_.commit(got);
            if (state_ == State::reading) parse();
        }
    }
    if (state_ == State::closed) return;
    if (error && error != asio::error::would_block) return onEnd();
    if (state_ == State::reading) buffer_.release();
    read();
}

void HttpConnection::onEnd() {
    if (state_ == State::writing) return;  // the answer is on its way; its write tells the rest
    close();
}

void HttpConnection::parse() {
    const HttpReader::State state = reader_.parse();
    if (state == HttpReader::State::more) {
        partialSince_ = buffer_.size() == 0 ? 0 : partialSince_ > 0 ? partialSince_ : server_.clock_.now();
        return;
    }
    state_ = State::handling;
    partialSince_ = 0;
    if (state == HttpReader::State::complete) {
        if (!std::exchange(asked_, true)) ++server_.askers_;
        const HttpMessage message = reader_.message();
        keepAlive_ = message.keepAlive;
        server_.handler_(message, shared_from_this());
        return;
    }
    keepAlive_ = false;  // where the next message begins is unknown
    broken_ = true;
    const bool large = state == HttpReader::State::tooLarge;
    if (large && reader_.inHead()) return respond(431, "text/plain", "the head is too large\n");
    respond(large ? 413 : 400, "text/plain", large ? "message too large\n" : "malformed request\n");
}

void HttpConnection::respond(int status, std::string_view type, std::string_view body,
                             std::string_view extra, std::function<void()> handedOver) {
    if (state_ != State::handling) return;  // the client has gone
    handedOver_ = std::move(handedOver);
    gone_ = nullptr;
    if (server_.closing_ || server_.crowded() || farAhead_) keepAlive_ = false;
    out_ = response(status, type, body, keepAlive_, extra);
    state_ = State::writing;
    since_ = server_.clock_.now();
    write();
}

void HttpConnection::write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          if (self->state_ == State::closed) return;
                          if (error) return self->close();
                          if (self->handedOver_) std::exchange(self->handedOver_, nullptr)();
                          // Far ahead: what came while it was written is not whole any more.
                          if (!self->keepAlive_ || self->farAhead_) return self->linger();
                          self->state_ = State::reading;
                          self->since_ = self->server_.clock_.now();
                          self->reader_.next();
                          std::string().swap(self->out_);
                          self->buffer_.release();
                          self->server_.connections_.splice(self->server_.connections_.end(),
                                                            self->server_.connections_, self->place_);
                          self->parse();  // what the client sent ahead
                          self->read();
                      });
}

// Closing with bytes unread would reset the connection and could cost the client the answer: its end is
// awaited for a while.
void HttpConnection::linger() {
    state_ = State::lingering;
    since_ = server_.clock_.now();
    std::string().swap(out_);
    buffer_.consume(buffer_.size());
    buffer_.release();
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

bool HttpConnection::unread() const {
    asio::error_code error;
    return socket_.available(error) > 0 && !error;
}

bool HttpConnection::left() {
    if (state_ == State::closed) return true;
    pollfd look{socket_.native_handle(), POLLIN | POLLRDHUP, 0};
    if (::poll(&look, 1, 0) <= 0) return false;
    if ((look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return true;
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

// Whether it has had its time, whatever it is about. Who is owed an answer never has.
bool HttpConnection::late(Millis now) const {
    switch (state_) {
        case State::reading:
            if (!asked_) return now - since_ > kSilent;
            return partialSince_ > 0 ? now - partialSince_ > kPartialMessage : now - since_ > kIdle;
        case State::writing:
            return now - since_ > kWriteWithin;
        case State::lingering:
            return now - since_ > (broken_ ? kLingerBroken : kLinger);
        default:
            return false;
    }
}

void HttpConnection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    const auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    server_.connections_.erase(place_);
    if (asked_) --server_.askers_;
    handedOver_ = nullptr;
    if (gone_) std::exchange(gone_, nullptr)();
}

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
    acceptor_.bind(at);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    accepting_ = true;
    accept();
    sweep();
}

void HttpServer::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](asio::error_code error) {
        if (error == asio::error::operation_aborted || !accepting_) return;
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
    timerAccept_.async_wait([this](asio::error_code error) {
        if (!error && accepting_) accept();
    });
}

// Closes the connection that is missed least: one that has its answer, one that never asked, half a message,
// one between requests; of each kind the oldest, and what came just now last, since its request may be on its
// way. Never is one closed whose request has come.
bool HttpServer::makeRoom() {
    using State = HttpConnection::State;
    const Millis now = clock_.now();
    const auto rank = [now](const HttpConnection& c) {
        if (c.state_ == State::lingering) return 0;
        if (c.state_ != State::reading) return kNeverClosed;
        if (c.asked_ && c.idle()) return now - c.since_ > kIdleShort ? 3 : 4;
        return (c.idle() ? 1 : 2) + (now - c.since_ > kJustCame ? 0 : 4);
    };
    std::shared_ptr<HttpConnection> least;
    for (const auto& c : connections_) {
        const int r = rank(*c);
        if (r < kNeverClosed && (!least || r < rank(*least)) && (r == 0 || !c->unread())) least = c;
    }
    if (least) least->close();
    return least != nullptr;
}

void HttpServer::limit(std::size_t most) {
    max_ = most;
    while (connections_.size() > max_ && makeRoom());
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
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        std::vector<std::shared_ptr<HttpConnection>> late;
        const Millis now = clock_.now();
        for (const auto& c : connections_)
            if (c->late(now)) late.push_back(c);
        for (const auto& c : late) {
            if (c->state_ != HttpConnection::State::reading) {
                c->close();
            } else if (c->unread() && (c->idle() || now - c->partialSince_ < 2 * kPartialMessage)) {
                continue;  // this side may be the late one: what has come is read first
            } else if (!c->idle()) {  // half a message: its client hears why
                c->state_ = HttpConnection::State::handling;
                c->keepAlive_ = false;
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
