// One TCP connection that carries frames, on one of nng's byte streams. Its operations end on threads of nng's; whole
// frames and the end of the connection are told on the loop's thread, sending goes on without waking the loop.
//
// Why streams and not nng's request and reply sockets: closing a socket's connection while bytes arrive on it can leave
// an operation of nng 1.5.2 unfinished for good (seen as a hang in nng_close, and of its one thread that releases closed
// connections), and here connections are closed whenever a call times out.
//
//   receiving: waiting for bytes > whole frames, with the loop > waiting (the next bytes are read after they are handled)
//   sending:   idle > a buffer under way, later frames collect in the next one > idle
//   an error, a time-out of sending, bytes that are no frames: the end is told once, and nothing after it
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

struct FreeStream {
    void operator()(nng_stream* stream) const { nng_stream_free(stream); }
};
using Stream = std::unique_ptr<nng_stream, FreeStream>;

class Connection : public std::enable_shared_from_this<Connection> {
public:
    using FramesHandler = std::function<void(std::vector<Frame>)>;
    using EndHandler = std::function<void(std::string reason)>;

    // Nothing when there is no memory. The handlers are called on the loop's thread, from start() on. All other uses,
    // destruction included, are on that thread too.
    static std::shared_ptr<Connection> make(asio::io_context& io, Stream stream, FramesHandler frames,
                                            EndHandler end);
    // Closes it, waits for nng's threads to let go of it, and tells nothing more.
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void start();
    // False when the peer takes so little that kMaxUnsentBytes are waiting; then the frame is not sent.
    bool send(FrameKind kind, std::uint32_t number, std::string_view body);

private:
    Connection(asio::io_context& io, Stream stream, FramesHandler frames, EndHandler end);

    // On nng's threads.
    static void received(void* self);
    static void sent(void* self);
    void receiveCompleted();
    void sendCompleted();
    bool takeNextBuffer();

    // On either.
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
    FrameReader reader_;  // with nng's thread or the loop's, never both

    std::mutex mutex_;    // guards the next two
    std::string unsent_;  // frames that wait for the buffer under way
    bool underWay_ = false;
    std::string buffer_;  // under way; with nng's threads while underWay_
    std::size_t offset_ = 0;
};

}  // namespace beechpoint::rpc
