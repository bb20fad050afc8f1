#include "net/server.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <vector>

namespace beechpoint::net {

using asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = 4096;
// A client may send ahead while its request is in hand; reading stops here, so that it can't fill the memory.
constexpr std::size_t kMostAhead = kMaxBody + 2 * kMaxHead;
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr auto kSweepEvery = std::chrono::seconds(1);
constexpr Millis kPartialMessage = 15'000;  // a message must come whole within this
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

}  // namespace

HttpConnection::HttpConnection(HttpServer& server, tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      timer_(server.io_),
      reader_(HttpReader::Kind::request, buffer_),
      since_(server.clock_.now()) {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
}

void HttpConnection::read() {
    if (readOut_ || state_ == State::closed) return;
    if (state_ != State::lingering && buffer_.size() > kMostAhead) return;
    readOut_ = true;
    socket_.async_read_some(buffer_.prepare(kReadSize),
                            [self = shared_from_this()](asio::error_code error, std::size_t got) {
                                self->readOut_ = false;
                                if (self->state_ == State::closed) return;
                                error ? self->onEnd() : self->onRead(got);
                            });
}

void HttpConnection::onRead(std::size_t got) {
    if (state_ == State::lingering) return read();  // thrown away
    buffer_.commit(got);
    if (state_ == State::reading) parse();
    read();
}

void HttpConnection::onEnd() {
    if (state_ == State::writing) return;  // the answer is on its way; its write tells the rest
    close();
}

void HttpConnection::parse() {
    const HttpReader::State state = reader_.parse();
    if (state == HttpReader::State::more) return;
    state_ = State::handling;
    if (state == HttpReader::State::complete) {
        since_ = server_.clock_.now();
        const HttpMessage message = reader_.message();
        keepAlive_ = message.keepAlive;
        server_.handler_(message, shared_from_this());
        return;
    }
    keepAlive_ = false;  // where the next message begins is unknown
    const bool large = state == HttpReader::State::tooLarge;
    respond(large ? 413 : 400, "text/plain", large ? "message too large\n" : "malformed request\n");
}

void HttpConnection::respond(int status, std::string_view type, std::string_view body,
                             std::string_view extra) {
    if (state_ != State::handling) return;  // the client has gone
    gone_ = nullptr;
    if (server_.closing_) keepAlive_ = false;
    out_ = response(status, type, body, keepAlive_, extra);
    state_ = State::writing;
    write();
}

void HttpConnection::write() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          if (self->state_ == State::closed) return;
                          if (error) return self->close();
                          if (!self->keepAlive_) return self->linger();
                          self->state_ = State::reading;
                          self->reader_.next();
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
    asio::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(kLinger);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error) self->close();
    });
    read();
}

void HttpConnection::close() {
    if (state_ == State::closed) return;
    state_ = State::closed;
    const auto self = shared_from_this();
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    server_.connections_.erase(place_);
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
      timer_(io) {}

HttpServer::~HttpServer() { closeAll(); }

void HttpServer::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    accepting_ = true;
    accept();
    sweep();
}

void HttpServer::accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !accepting_) return;
        if (!error) {
            adopt(std::move(socket));
            return accept();
        }
        // Out of descriptors, most likely: make room, and do not spin.
        log_.seldom("accept", "could not accept a connection: {}", error.message());
        if (!connections_.empty() && connections_.front()->idle()) connections_.front()->close();
        auto pause = std::make_shared<asio::steady_timer>(io_, kAcceptPause);
        pause->async_wait([this, pause](asio::error_code) {
            if (accepting_) accept();
        });
    });
}

void HttpServer::adopt(tcp::socket socket) {
    // Over the limit the connection that has been idle longest makes room: closing between requests is
    // harmless.
    if (connections_.size() >= max_)
        for (const auto& old : connections_)
            if (old->idle()) {
                old->close();
                break;
            }
    const auto connection = std::make_shared<HttpConnection>(*this, std::move(socket));
    connections_.push_back(connection);
    connection->place_ = std::prev(connections_.end());
    connection->start();
}

// A message that never comes whole must not hold a descriptor for ever.
void HttpServer::sweep() {
    timer_.expires_after(kSweepEvery);
    timer_.async_wait([this](asio::error_code error) {
        if (error) return;
        std::vector<std::shared_ptr<HttpConnection>> late;
        for (const auto& c : connections_) {
            if (c->state_ != HttpConnection::State::reading || c->idle())
                c->since_ = clock_.now();
            else if (clock_.now() - c->since_ > kPartialMessage)
                late.push_back(c);
        }
        for (const auto& c : late) c->close();
        sweep();
    });
}

void HttpServer::stopAccepting() {
    if (!accepting_) return;
    accepting_ = false;
    for (asio::error_code error; !error;) {  // what waits in the backlog counts as accepted
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error) adopt(std::move(socket));
    }
    asio::error_code ignored;
    acceptor_.close(ignored);
}

// A request that has come but was not read yet counts as taken: such a connection stays for its answer.
void HttpServer::closeIdle() {
    std::vector<std::shared_ptr<HttpConnection>> idle;
    for (const auto& c : connections_) {
        asio::error_code error;
        if (c->idle() && (c->socket_.available(error) == 0 || error)) idle.push_back(c);
    }
    for (const auto& c : idle) c->close();
}

void HttpServer::closeAll() {
    accepting_ = false;
    asio::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
    while (!connections_.empty()) connections_.front()->close();
}

}  // namespace beechpoint::net
