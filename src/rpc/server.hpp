// The answering side of calls between own processes: takes requests on one TCP address and hands them to a handler on
// the loop's thread. A request may be answered at once, seconds later (a long poll) or not at all.
//
// Requests that are being handled are bounded: one more is refused, which its caller sees at once as `unavailable`.
// Connections are bounded too: beyond kMaxConnections the one that has been silent longest is closed.
// What the bytes mean is the callers' affair; see rpc/codec.hpp for packing typed messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/logger.hpp"
#include "core/result.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::rpc {

inline constexpr std::size_t kMaxMessageBytes = 16u << 20;  // of one request or one answer
inline constexpr std::size_t kMaxHandledRequests = 1024;    // taken and not yet answered, of one server
inline constexpr std::size_t kMaxConnections = 512;         // of one server

class ServerState;

// The right to answer one request. Answered at most once; destroyed unanswered, it says nothing to the caller, whose
// call then times out. May outlive the server. To be used on the loop's thread only.
class Reply {
public:
    Reply() = default;
    Reply(Reply&& other) noexcept;
    Reply& operator=(Reply&& other) noexcept;
    ~Reply();

    // An answer above kMaxMessageBytes is dropped and logged.
    void send(std::string bytes);
    // Whether the request is still to be answered.
    explicit operator bool() const { return open_; }

private:
    friend class ServerState;
    Reply(std::weak_ptr<ServerState> server, std::uint64_t connection, std::uint32_t number);
    void drop();

    std::weak_ptr<ServerState> server_;
    std::uint64_t connection_ = 0;
    std::uint32_t number_ = 0;
    bool open_ = false;
};

class Server {
public:
    using Handler = std::function<void(std::string bytes, Reply reply)>;

    // `io` and `log` must outlive the server.
    Server(asio::io_context& io, Logger& log);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // To be set before listen().
    void onRequest(Handler handler);
    // `address` is "ip:port"; port 0 lets the kernel choose. Once per server.
    Result<void> listen(const std::string& address);
    // Where it listens; 0 before listen().
    std::uint16_t port() const;
    // Requests taken and not yet answered.
    std::size_t handled() const;
    // Connections that are open.
    std::size_t connections() const;

private:
    std::shared_ptr<ServerState> state_;
};

}  // namespace beechpoint::rpc
