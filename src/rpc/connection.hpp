/// One TCP connection that carries frames, on one of nng's byte streams. Its operations end on nng's threads; complete
/// frames and the end of the connection are reported on the loop's thread, sending goes on without waking the loop.
///
/// Why streams and not nng's request and reply sockets: closing a socket's connection while bytes arrive on it can leave
/// an operation of nng 1.5.2 unfinished for good (seen as a hang in nng_close, and of its one thread that releases closed
/// connections), and here connections are closed whenever a call times out.
///
///   part      | state       | event                                  | next
///   receiving | waiting     | bytes, no complete frame yet           | waiting
///             | waiting     | complete frames                        | handling, on the loop's thread
///             | handling    | the frames are handled                 | waiting: no bytes are read meanwhile
///   sending   | idle        | a frame                                | in progress
///             | in progress | a frame                                | in progress; it is added to the next buffer
///             | in progress | the buffer is sent, the next is empty  | idle
///             | in progress | the buffer is sent, the next has bytes | in progress, with that one
///   both      | any         | an error, a time-out of sending, bytes | ended: reported once, and nothing after it
///             |             | that are no frames                     |
#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "rpc/frame.hpp"

namespace beechpoint::rpc {

/// Frees one of nng's streams.
struct FreeStream {
    void operator()(nng_stream* stream) const { nng_stream_free(stream); }
};
using Stream = std::unique_ptr<nng_stream, FreeStream>;

class Connection : public std::enable_shared_from_this<Connection> {
public:
    using FramesHandler = std::function<void(std::vector<Frame>)>;
    using EndHandler = std::function<void(std::string reason)>;

    /// nullptr when there is no memory. The handlers are called on the loop's thread, from start() on. All other uses,
    /// destruction included, are on that thread too. `io` must outlive it.
    [[nodiscard]] static std::shared_ptr<Connection> make(asio::io_context& io, Stream stream,
                                                          FramesHandler frames, EndHandler end);
    /// Closes it and waits until nng's threads no longer use it; no handler is called any more.
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void start();
    /// False when the peer reads so slowly that kMaxUnsentBytes are waiting; then the frame is not sent.
    [[nodiscard]] bool send(FrameKind kind, std::uint32_t number, std::string_view body);

private:
    Connection(asio::io_context& io, Stream stream, FramesHandler frames, EndHandler end);

    // On nng's threads.
    static void received(void* self);
    static void sent(void* self);
    void receiveCompleted();
    void sendCompleted();
    bool takeNextBuffer();

    // On nng's threads or the loop's.
    void receive();
    void transmit();
    void endLater(std::string reason);

    // On the loop's thread.
    void handle(std::vector<Frame> frames);
    void end(std::string reason);

    asio::io_context& io_;
    Stream stream_;
    FramesHandler framesHandler_;
    EndHandler endHandler_;
    nng_aio* receiving_ = nullptr;
    nng_aio* sending_ = nullptr;
    FrameReader reader_;  // used by nng's thread or the loop's, never by both at once

    std::mutex mutex_;    // guards the next two
    std::string unsent_;  // frames for the next buffer
    bool isSending_ = false;
    std::string buffer_;      // being sent; used by nng's threads alone while isSending_
    std::size_t offset_ = 0;  // of the first byte of buffer_ that is not sent
};

}  // namespace beechpoint::rpc
