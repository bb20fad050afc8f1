#include "rpc/connection.hpp"

#include <asio/post.hpp>
#include <utility>

#include "rpc/server.hpp"

namespace beechpoint::rpc {

namespace {

constexpr std::size_t kMaxUnsentBytes = 2 * kMaxMessageBytes;
constexpr nng_duration kSendTimeoutMs = 10'000;         // without a byte accepted by the peer
constexpr std::size_t kMaxIdleBufferBytes = 64u << 10;  // a larger buffer is freed when it is sent

}  // namespace

std::shared_ptr<Connection> Connection::make(asio::io_context& io, Stream stream, FramesHandler frames,
                                             EndHandler end) {
    std::shared_ptr<Connection> made(
        new Connection(io, std::move(stream), std::move(frames), std::move(end)));
    if (nng_aio_alloc(&made->receiving_, received, made.get()) != 0) return nullptr;
    if (nng_aio_alloc(&made->sending_, sent, made.get()) != 0) return nullptr;
    nng_aio_set_timeout(made->receiving_, NNG_DURATION_INFINITE);
    nng_aio_set_timeout(made->sending_, kSendTimeoutMs);
    return made;
}

Connection::Connection(asio::io_context& io, Stream stream, FramesHandler frames, EndHandler end)
    : io_(io), stream_(std::move(stream)), framesHandler_(std::move(frames)), endHandler_(std::move(end)) {}

Connection::~Connection() {
    nng_stream_close(stream_.get());
    for (nng_aio* operation : {receiving_, sending_})
        if (operation) nng_aio_stop(operation);
    for (nng_aio* operation : {receiving_, sending_})
        if (operation) nng_aio_free(operation);
}

void Connection::start() { receive(); }

void Connection::receive() {
    const std::span<char> space = reader_.freeSpace();
    nng_iov target{space.data(), space.size()};
    nng_aio_set_iov(receiving_, 1, &target);
    nng_stream_recv(stream_.get(), receiving_);
}

void Connection::received(void* self) { static_cast<Connection*>(self)->receiveCompleted(); }

void Connection::receiveCompleted() {
    if (const int error = nng_aio_result(receiving_); error != 0) {
        endLater(nng_strerror(error));
        return;
    }
    std::optional<std::vector<Frame>> frames = reader_.received(nng_aio_count(receiving_));
    if (!frames) {
        endLater("the peer sent bytes that are no frames");
        return;
    }
    if (frames->empty()) {
        receive();
        return;
    }
    asio::post(io_, [weak = weak_from_this(), frames = std::move(*frames)]() mutable {
        if (const std::shared_ptr<Connection> self = weak.lock()) self->handle(std::move(frames));
    });
}

void Connection::handle(std::vector<Frame> frames) {
    if (!endHandler_) return;  // ended meanwhile by the sending part
    framesHandler_(std::move(frames));
    receive();
}

bool Connection::send(FrameKind kind, std::uint32_t number, std::string_view body) {
    {
        const std::lock_guard lock(mutex_);
        if (unsent_.size() + body.size() > kMaxUnsentBytes) return false;
        appendFrame(kind, number, body, unsent_);
        if (isSending_) return true;
        isSending_ = true;
        buffer_.swap(unsent_);
    }
    offset_ = 0;
    transmit();
    return true;
}

void Connection::transmit() {
    nng_iov source{buffer_.data() + offset_, buffer_.size() - offset_};
    nng_aio_set_iov(sending_, 1, &source);
    nng_stream_send(stream_.get(), sending_);
}

void Connection::sent(void* self) { static_cast<Connection*>(self)->sendCompleted(); }

void Connection::sendCompleted() {
    if (const int error = nng_aio_result(sending_); error != 0) {
        endLater(nng_strerror(error));
        return;
    }
    offset_ += nng_aio_count(sending_);
    if (offset_ < buffer_.size() || takeNextBuffer()) transmit();
}

bool Connection::takeNextBuffer() {
    const std::lock_guard lock(mutex_);
    buffer_.clear();
    if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
    offset_ = 0;
    buffer_.swap(unsent_);
    isSending_ = !buffer_.empty();
    return isSending_;
}

void Connection::endLater(std::string reason) {
    asio::post(io_, [weak = weak_from_this(), reason = std::move(reason)]() mutable {
        if (const std::shared_ptr<Connection> self = weak.lock()) self->end(std::move(reason));
    });
}

void Connection::end(std::string reason) {
    const EndHandler handler = std::move(endHandler_);
    endHandler_ = nullptr;  // the end is reported once
    if (handler) handler(std::move(reason));
}

}  // namespace beechpoint::rpc
