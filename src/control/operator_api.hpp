/// The operators' calls over HTTP at one control member.
///
/// What it is: the driver of OperatorCalls (operator_calls.hpp), which decides. It parses requests, gives the state machine the time,
/// the replica's state and the ends of connections as events, and carries out its actions on the member's replica and the connections.
/// What it is not: a listener; Control hands it the requests.
///
/// Owns the connections of unanswered calls and the timer by which waiting calls are evaluated again (every 25 ms).
/// All functions are to be called from the event loop's thread; callbacks come on it too.
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

/// Life cycle: serves from its construction on; after startDraining() it finishes what it has begun and answers the rest 503. Its
/// destruction ends it silently: answers that were still to come are dropped.
class OperatorApi {
public:
    /// All references must outlive it.
    OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver);
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    /// Takes a request; it is answered on `connection` at once or later. A path or method that is no call is answered 4xx.
    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);
    /// The view or the committed table changed: waiting calls may go on.
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
