/// The operators' calls over HTTP at one control member.
///
/// The driver of the state machine OperatorCalls (operator_calls.hpp): it parses requests, passes the time, the replica's state and
/// closed connections to the state machine, and performs its actions on the member's replica and the connections.
/// Control owns the listener and passes it the requests.
///
/// Owns the connections of unanswered calls and the timer by which waiting calls are evaluated again (every 25 ms).
/// All functions must be called from the event loop's thread; callbacks run on it too.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/clock.hpp"
#include "core/logger.hpp"

namespace asio {
class io_context;
}
namespace beechpoint::net {
class HttpConnection;
struct HttpMessage;
}  // namespace beechpoint::net

namespace beechpoint::control {

class ReplicaDriver;

inline constexpr std::size_t kMaxOperatorBody = std::size_t{8} * 1024 * 1024;  ///< bytes of one call

/// Life cycle: serves from construction on; after startDraining() it finishes the calls in progress and answers the rest 503.
/// Destruction drops pending answers silently.
class OperatorApi {
public:
    /// All references must outlive it.
    OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver);
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    /// Handles a request, answered on `connection` at once or later. An unknown path or method is answered 4xx.
    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);
    /// The view or the committed table changed: waiting calls are evaluated again.
    void onReplicaChanged();
    /// Waiting calls are answered 503 from now on; those in a read barrier or committing are finished.
    void startDraining();
    /// Number of unanswered calls.
    [[nodiscard]] std::size_t pendingCalls() const;
    /// Writes that this process committed since its start.
    [[nodiscard]] std::uint64_t committedWrites() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
