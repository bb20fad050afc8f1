/// The inner part of Server: a listener, the connections it accepted, and how many requests are in progress. All but
/// accepted() runs on the loop's thread.
///
///   state     | event                             | next
///   accepting | a connection                      | accepting; beyond kMaxConnections the one idle longest is closed
///   accepting | no descriptor or no memory        | waiting
///   waiting   | kAcceptRetryDelay has passed      | accepting
///   any       | close()                           | closed: no handler is called any more
///
/// A connection has a number of its own that is never used again, so an answer to a request of an earlier connection reaches nobody.
#pragma once

#include <nng/nng.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rpc/connection.hpp"
#include "rpc/frame.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

class ServerState : public std::enable_shared_from_this<ServerState> {
public:
    ServerState(asio::io_context& io, Logger& log) : io_(io), log_(log), acceptRetry_(io) {}
    ~ServerState() { close(); }
    ServerState(const ServerState&) = delete;
    ServerState& operator=(const ServerState&) = delete;

    void onRequest(Server::Handler handler) { handler_ = std::move(handler); }
    [[nodiscard]] Result<void> listen(const std::string& address);
    /// Closes everything and waits until nng's threads no longer use this object.
    void close();

    std::uint16_t port() const { return port_; }
    std::size_t handled() const { return handled_; }
    std::size_t connections() const { return connections_.size(); }

    /// How a request ends: answered, or its Reply destroyed. `connection` may be closed by then.
    void answer(std::uint64_t connection, std::uint32_t number, const std::string& bytes);
    void drop() { --handled_; }

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    struct Peer {
        std::shared_ptr<Connection> connection;
        TimePoint lastFrame;  // when it came; of a new connection, when that was accepted
    };

    int open(const std::string& url);
    void accept();
    static void accepted(void* self);  // on nng's threads
    void onAcceptEnded(Stream stream, int error);
    void adopt(Stream stream);
    void closeLongestIdle();
    void onFrames(std::uint64_t connection, std::vector<Frame> frames);
    void onRequestFrame(std::uint64_t connection, Frame frame);
    void send(std::uint64_t connection, FrameKind kind, std::uint32_t number, std::string_view body);

    asio::io_context& io_;
    Logger& log_;
    Server::Handler handler_;
    nng_stream_listener* listener_ = nullptr;
    nng_aio* accepting_ = nullptr;
    asio::steady_timer acceptRetry_;
    std::uint16_t port_ = 0;
    std::size_t handled_ = 0;
    std::uint64_t lastConnection_ = 0;
    std::map<std::uint64_t, Peer> connections_;
    bool closed_ = false;
};

}  // namespace beechpoint::rpc
