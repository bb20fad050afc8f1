// The operator's calls: reads go to the tail, writes to the head, from elsewhere by 307; a call that finds no place waits a little
// for the next view.
//
//   waiting  --no member for it until its deadline--> 503
//            --another member has the role--> 307       --read, here--> barrier
//            --write, first in line, head writable--> decided
//   barrier  --ok--> 200 (read) or decided again (write)   --not ok--> waiting
//   decided  --accepted--> committing                      --anything else--> barrier, unless that was passed: then answered
//   committing --committed--> 200                          --else--> 503: not known, the operator sends it again
//
// The barrier shows that the table is the newest since the call came: of a read, a heartbeat round of the tail; of a write, an empty
// batch that the whole chain commits. One write is in hand at a time, the others wait in order. Only behind its barrier is a write
// refused or called taken: a head that was cut off would do so by a table that is out of date.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

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

inline constexpr std::size_t kMaxOperatorCalls = 64;                // one more gets 503
inline constexpr std::size_t kMaxOperatorBytes = 32 * 1024 * 1024;  // bodies of calls in hand, together
inline constexpr std::size_t kMaxOperatorBody = 8 * 1024 * 1024;    // of one call
inline constexpr Millis kOperatorWait = 850;  // for a place; operators move on after a second of silence

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
