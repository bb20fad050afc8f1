#include "rpc/server_state.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rpc/address.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{100};  // when no descriptor or no memory is left

}  // namespace

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
    if (closed_) return;
    closed_ = true;
    if (listener_) nng_stream_listener_close(listener_);
    if (accepting_) nng_aio_stop(accepting_);
    if (accepting_) nng_aio_free(accepting_);
    if (listener_) nng_stream_listener_free(listener_);
    acceptRetry_.cancel();
    connections_.clear();
}

void ServerState::accept() { nng_stream_listener_accept(listener_, accepting_); }

void ServerState::accepted(void* argument) {
    ServerState& self = *static_cast<ServerState*>(argument);
    const int error = nng_aio_result(self.accepting_);
    Stream stream(error == 0 ? static_cast<nng_stream*>(nng_aio_get_output(self.accepting_, 0)) : nullptr);
    asio::post(self.io_, [weak = self.weak_from_this(), stream = std::move(stream), error]() mutable {
        const std::shared_ptr<ServerState> state = weak.lock();
        if (state && !state->closed_) state->onAcceptEnded(std::move(stream), error);
    });
}

void ServerState::onAcceptEnded(Stream stream, int error) {
    if (stream) {
        adopt(std::move(stream));
        accept();
        return;
    }
    if (error == NNG_ECLOSED || error == NNG_ECANCELED) return;
    log_.seldom("rpc accept", "rpc: no connection can be accepted: {}", field("reason", nng_strerror(error)));
    acceptRetry_.expires_after(kAcceptRetryDelay);
    acceptRetry_.async_wait([weak = weak_from_this()](asio::error_code failure) {
        const std::shared_ptr<ServerState> state = weak.lock();
        if (!failure && state && !state->closed_) state->accept();
    });
}

void ServerState::adopt(Stream stream) {
    if (connections_.size() >= kMaxConnections) closeLongestIdle();
    const std::uint64_t number = ++lastConnection_;
    const auto framesHandler = [this, number](std::vector<Frame> frames) {
        onFrames(number, std::move(frames));
    };
    const auto endHandler = [this, number](const std::string&) { connections_.erase(number); };
    std::shared_ptr<Connection> connection =
        Connection::make(io_, std::move(stream), framesHandler, endHandler);
    if (!connection) return;
    connection->start();
    connections_.emplace(number, Peer{std::move(connection), std::chrono::steady_clock::now()});
}

void ServerState::closeLongestIdle() {
    const auto longestIdle = std::min_element(
        connections_.begin(), connections_.end(),
        [](const auto& left, const auto& right) { return left.second.lastFrame < right.second.lastFrame; });
    log_.seldom("rpc connections", "rpc: more than {} connections, the one idle longest is closed",
                field("limit", kMaxConnections));
    connections_.erase(longestIdle);
}

void ServerState::onFrames(std::uint64_t connection, std::vector<Frame> frames) {
    const std::shared_ptr<ServerState> self = shared_from_this();  // a handler may destroy the server
    for (Frame& frame : frames) {
        const auto peer = connections_.find(connection);
        if (closed_ || peer == connections_.end()) return;
        peer->second.lastFrame = std::chrono::steady_clock::now();
        if (frame.kind != FrameKind::request) {
            connections_.erase(peer);
            return;
        }
        onRequestFrame(connection, std::move(frame));
    }
}

void ServerState::onRequestFrame(std::uint64_t connection, Frame frame) {
    if (handled_ >= kMaxHandledRequests) {
        log_.seldom("rpc rejected", "rpc: {} requests are in progress, one more is rejected",
                    field("limit", handled_));
        send(connection, FrameKind::refusal, frame.number, {});
        return;
    }
    ++handled_;
    Reply reply(weak_from_this(), connection, frame.number);
    if (handler_) handler_(std::move(frame.body), std::move(reply));
}

void ServerState::answer(std::uint64_t connection, std::uint32_t number, const std::string& bytes) {
    --handled_;
    if (bytes.size() <= kMaxMessageBytes) {
        send(connection, FrameKind::answer, number, bytes);
        return;
    }
    log_.seldom("rpc answer size", "rpc: an answer of {} bytes is above the limit and is not sent",
                field("bytes", bytes.size()));
}

void ServerState::send(std::uint64_t connection, FrameKind kind, std::uint32_t number,
                       std::string_view body) {
    const auto peer = connections_.find(connection);
    if (closed_ || peer == connections_.end()) return;
    if (peer->second.connection->send(kind, number, body)) return;
    log_.seldom("rpc unread", "rpc: a caller that does not read its answers is disconnected");
    connections_.erase(peer);
}

}  // namespace beechpoint::rpc
