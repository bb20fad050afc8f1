#include "rpc/server.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rpc/address.hpp"
#include "rpc/server_state.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::chrono::milliseconds kAcceptAgainAfter{100};  // when no descriptor or no memory is left

}  // namespace

// --- ServerState

Result<void> ServerState::listen(const std::string& address) {
    if (listener_)
        return Error{ErrorKind::invalid, address, "the server listens already", "make another server"};
    const Result<std::string> url = urlOf(address);
    if (!url) return url.error();
    if (const int error = open(url.value()); error != 0) {
        close();
        return Error{ErrorKind::unavailable, address, nng_strerror(error),
                     "check that the address is this machine's and free"};
    }
    accept();
    return boost::outcome_v2::success();
}

int ServerState::open(const std::string& url) {
    int error = nng_stream_listener_alloc(&listener_, url.c_str());
    if (error == 0) error = nng_aio_alloc(&accepting_, accepted, this);
    if (error == 0) error = nng_stream_listener_listen(listener_);
    int port = 0;
    if (error == 0) error = nng_stream_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port);
    port_ = static_cast<std::uint16_t>(port);
    return error;
}

void ServerState::close() {
    if (std::exchange(closed_, true)) return;
    if (listener_) nng_stream_listener_close(listener_);
    if (accepting_) nng_aio_stop(accepting_);
    if (accepting_) nng_aio_free(accepting_);
    if (listener_) nng_stream_listener_free(listener_);
    acceptAgain_.cancel();
    connections_.clear();
}

void ServerState::accept() { nng_stream_listener_accept(listener_, accepting_); }

void ServerState::accepted(void* argument) {
    ServerState& self = *static_cast<ServerState*>(argument);
    const int error = nng_aio_result(self.accepting_);
    Stream stream(error == 0 ? static_cast<nng_stream*>(nng_aio_get_output(self.accepting_, 0)) : nullptr);
    asio::post(self.io_, [weak = self.weak_from_this(), stream = std::move(stream), error]() mutable {
        const std::shared_ptr<ServerState> state = weak.lock();
        if (state && !state->closed_) state->acceptEnded(std::move(stream), error);
    });
}

void ServerState::acceptEnded(Stream stream, int error) {
    if (stream) {
        adopt(std::move(stream));
        return accept();
    }
    if (error == NNG_ECLOSED || error == NNG_ECANCELED) return;
    log_.seldom("rpc accept", "rpc: no connection can be accepted: {}", field("reason", nng_strerror(error)));
    acceptAgain_.expires_after(kAcceptAgainAfter);
    acceptAgain_.async_wait([weak = weak_from_this()](asio::error_code failure) {
        const std::shared_ptr<ServerState> state = weak.lock();
        if (!failure && state && !state->closed_) state->accept();
    });
}

void ServerState::adopt(Stream stream) {
    if (connections_.size() >= kMaxConnections) closeTheMostSilent();
    const std::uint64_t number = ++lastConnection_;
    const auto framesCome = [this, number](std::vector<Frame> frames) {
        framesCame(number, std::move(frames));
    };
    const auto ends = [this, number](const std::string&) { connections_.erase(number); };
    std::shared_ptr<Connection> connection = Connection::make(io_, std::move(stream), framesCome, ends);
    if (!connection) return;
    connection->start();
    connections_.emplace(number, Peer{std::move(connection), std::chrono::steady_clock::now()});
}

void ServerState::closeTheMostSilent() {
    const auto silent =
        std::min_element(connections_.begin(), connections_.end(),
                         [](const auto& a, const auto& b) { return a.second.heard < b.second.heard; });
    log_.seldom("rpc connections", "rpc: more than {} connections, the one silent longest is closed",
                field("limit", kMaxConnections));
    connections_.erase(silent);
}

void ServerState::framesCame(std::uint64_t connection, std::vector<Frame> frames) {
    const std::shared_ptr<ServerState> self = shared_from_this();  // a handler may destroy the server
    for (Frame& frame : frames) {
        const auto peer = connections_.find(connection);
        if (closed_ || peer == connections_.end()) return;
        peer->second.heard = std::chrono::steady_clock::now();
        if (frame.kind != FrameKind::request) {
            connections_.erase(peer);
            return;
        }
        requestCame(connection, std::move(frame));
    }
}

void ServerState::requestCame(std::uint64_t connection, Frame frame) {
    if (handled_ >= kMaxHandledRequests) {
        log_.seldom("rpc refused", "rpc: {} requests are being handled, one more is refused",
                    field("limit", handled_));
        return send(connection, FrameKind::refusal, frame.number, {});
    }
    ++handled_;
    Reply reply(weak_from_this(), connection, frame.number);
    if (handler_) handler_(std::move(frame.body), std::move(reply));
}

void ServerState::answer(std::uint64_t connection, std::uint32_t number, const std::string& bytes) {
    --handled_;
    if (bytes.size() <= kMaxMessageBytes) return send(connection, FrameKind::answer, number, bytes);
    log_.seldom("rpc answer size", "rpc: an answer of {} bytes is above the limit and is not sent",
                field("bytes", bytes.size()));
}

void ServerState::send(std::uint64_t connection, FrameKind kind, std::uint32_t number,
                       std::string_view body) {
    const auto peer = connections_.find(connection);
    if (closed_ || peer == connections_.end()) return;
    if (peer->second.connection->send(kind, number, body)) return;
    log_.seldom("rpc unread", "rpc: a caller that does not read its answers is cut off");
    connections_.erase(peer);
}

// --- Reply

Reply::Reply(std::weak_ptr<ServerState> server, std::uint64_t connection, std::uint32_t number)
    : server_(std::move(server)), connection_(connection), number_(number), open_(true) {}

Reply::Reply(Reply&& other) noexcept
    : server_(std::move(other.server_)),
      connection_(other.connection_),
      number_(other.number_),
      open_(std::exchange(other.open_, false)) {}

Reply& Reply::operator=(Reply&& other) noexcept {
    if (this == &other) return *this;
    drop();
    server_ = std::move(other.server_);
    connection_ = other.connection_;
    number_ = other.number_;
    open_ = std::exchange(other.open_, false);
    return *this;
}

Reply::~Reply() { drop(); }

void Reply::drop() {
    if (!std::exchange(open_, false)) return;
    if (const std::shared_ptr<ServerState> server = server_.lock()) server->drop();
}

void Reply::send(std::string bytes) {
    if (!std::exchange(open_, false)) return;
    if (const std::shared_ptr<ServerState> server = server_.lock())
        server->answer(connection_, number_, bytes);
}

// --- Server

Server::Server(asio::io_context& io, Logger& log) : state_(std::make_shared<ServerState>(io, log)) {}

Server::~Server() { state_->close(); }

void Server::onRequest(Handler handler) { state_->onRequest(std::move(handler)); }

Result<void> Server::listen(const std::string& address) { return state_->listen(address); }

std::uint16_t Server::port() const { return state_->port(); }

std::size_t Server::handled() const { return state_->handled(); }

std::size_t Server::connections() const { return state_->connections(); }

}  // namespace beechpoint::rpc
