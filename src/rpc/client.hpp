/// The calling side: sends a request to a peer's address and gives its answer to a callback on the loop's thread.
///
/// Not here: what the bytes mean (codec.hpp), retries, and the choice of a peer.
///
/// One connection per address, opened by the first call and shared by all that are outstanding. A call that fails or
/// times out closes the connection, which fails the other calls that were sent on it, and the next call dials anew: a
/// peer that is down or behind a network partition does not answer, so a connection that left a call unanswered is not used again.
/// A peer that refuses connections is dialled three times within 200 ms, one that does not answer within a second; then the calls
/// that wait for it fail.
/// Nothing is sent twice: whether a failed call took effect at the peer is not known.
///
/// Ownership and threads: a Client owns its connections. All uses are on the loop's thread.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/result.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::rpc {

inline constexpr std::size_t kMaxPeers = 64;  ///< the least recently used is dropped, its calls fail
inline constexpr std::size_t kMaxOutstandingCalls = 1024;  ///< over all peers; one more fails at once

class ClientState;

class Client {
public:
    /// Errors: timedOut (no answer in time), unavailable (connection lost, peer at its limit, own limit reached),
    /// invalid (address or size of the request).
    using Callback = std::function<void(Result<std::string>)>;

    /// `io` and `log` must outlive the client.
    Client(asio::io_context& io, Logger& log);
    /// Calls that are outstanding end without a callback.
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// `address` is "ip:port"; `timeout` in milliseconds. Never blocks, and never calls back before it returns. Unless the client is destroyed
    /// first, `callback` is called exactly once, at most about `timeout` from now; connecting counts towards that.
    void call(const std::string& address, std::string bytes, Millis timeout, Callback callback);

    /// Addresses that have a state here, connected or not.
    [[nodiscard]] std::size_t peers() const;
    /// Calls that have not ended.
    [[nodiscard]] std::size_t outstanding() const;

private:
    std::shared_ptr<ClientState> state_;
};

}  // namespace beechpoint::rpc
