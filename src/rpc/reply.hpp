/// The right to answer one request of a Server.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace beechpoint::rpc {

class ServerState;

/// Answered at most once. Destroyed unanswered it sends nothing to the caller, whose call then times out. Counts towards
/// Server::handled() until then. May outlive the server and the connection; it then has no effect. To be used on the loop's thread
/// only.
class Reply {
public:
    Reply() = default;
    Reply(Reply&& other) noexcept;
    Reply& operator=(Reply&& other) noexcept;
    ~Reply();

    /// An answer above kMaxMessageBytes is dropped and logged.
    void send(std::string bytes);
    /// Whether the request is still to be answered.
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

}  // namespace beechpoint::rpc
