/// The answering side of calls between own processes: accepts requests on one TCP address and gives them to a handler on
/// the loop's thread. A request may be answered at once, seconds later (a long poll) or not at all.
///
/// Not here: what the bytes mean (codec.hpp packs typed messages), and who the caller is; there is no authentication.
///
/// Limits: of requests in progress, one more than kMaxHandledRequests is rejected, which its caller sees at once as
/// `unavailable`. Of connections, beyond kMaxConnections the one idle longest is closed.
///
/// Ownership and threads: a Server owns its listener and connections. All uses are on the loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/logger.hpp"
#include "core/result.hpp"
#include "rpc/reply.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::rpc {

inline constexpr std::size_t kMaxMessageBytes = 16u << 20;  ///< of one request or one answer
inline constexpr std::size_t kMaxHandledRequests = 1024;    ///< accepted and not yet answered, of one server
inline constexpr std::size_t kMaxConnections = 512;         ///< of one server

class ServerState;

class Server {
public:
    using Handler = std::function<void(std::string bytes, Reply reply)>;

    /// `io` and `log` must outlive the server.
    Server(asio::io_context& io, Logger& log);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// To be set before listen().
    void onRequest(Handler handler);
    /// `address` is "ip:port"; port 0 lets the kernel choose. Once per server. Errors: invalid (the address, or called again),
    /// unavailable (the address is in use or not this machine's).
    [[nodiscard]] Result<void> listen(const std::string& address);
    /// Where it listens; 0 before listen().
    [[nodiscard]] std::uint16_t port() const;
    /// Requests accepted and not yet answered.
    [[nodiscard]] std::size_t handled() const;
    /// Connections that are open.
    [[nodiscard]] std::size_t connections() const;

private:
    std::shared_ptr<ServerState> state_;
};

}  // namespace beechpoint::rpc
