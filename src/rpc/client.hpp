// The calling side: sends a request to a peer's address and hands its answer to a callback on the loop's thread.
//
// One connection per address, opened by the first call and shared by all that are outstanding. A call that fails or
// times out closes the connection, which fails the other calls that were sent on it, and the next call dials anew: a
// peer without power or behind a cut says nothing, so a connection that left a call unanswered is not trusted again.
// A peer that refuses connections is dialled three times within 200 ms, a silent one within a second; then the calls that wait
// for it fail.
// Nothing is sent twice: whether a failed call took effect at the peer is not known.
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

inline constexpr std::size_t kMaxPeers = 64;               // least recently used is dropped, its calls fail
inline constexpr std::size_t kMaxOutstandingCalls = 1024;  // over all peers; one more fails at once

class ClientState;

class Client {
public:
    // Errors: timedOut (no answer in time), unavailable (connection lost, peer at its limit, own limit reached),
    // invalid (address or size of the request).
    using Callback = std::function<void(Result<std::string>)>;

    // `io` and `log` must outlive the client.
    Client(asio::io_context& io, Logger& log);
    // Calls that are outstanding end without a callback.
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // `address` is "ip:port". Never blocks, and never calls back before it returns. Unless the client is destroyed
    // first, `callback` is called exactly once, at most about `timeout` from now; connecting counts towards that.
    void call(const std::string& address, std::string bytes, Millis timeout, Callback callback);

    std::size_t peers() const;
    std::size_t outstanding() const;

private:
    std::shared_ptr<ClientState> state_;
};

}  // namespace beechpoint::rpc
