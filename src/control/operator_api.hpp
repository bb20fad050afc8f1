// The operator's calls over HTTP. What becomes of them is decided by OperatorCalls; this carries its actions out on the member's
// replica and the connections, and tells it of time, of the replica's moves and of operators that left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "control/operator_calls.hpp"
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

inline constexpr std::size_t kMaxOperatorBody = 8 * 1024 * 1024;  // of one call

class OperatorApi {
public:
    // All references must outlive it.
    OperatorApi(asio::io_context& io, const Clock& clock, Logger& logger, ReplicaDriver& driver);
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    void handle(const net::HttpMessage& message, const std::shared_ptr<net::HttpConnection>& connection);
    // The view or the table moved: waiting calls may find their place.
    void look();
    // Calls that wait are sent away; those in hand are finished.
    void leave();
    std::size_t inHand() const;
    std::uint64_t writesTaken() const;  // committed by this process

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace beechpoint::control
