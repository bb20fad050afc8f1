/// HTTP/1.1 client connections to hosts: a pool for each address, one request at a time on a connection, answers passed on
/// as they come. It does not choose hosts, retry or judge statuses; it says exactly how far each exchange came, since that
/// decides whether the request may be sent again. Owns its connections; called from the loop's thread only.
///
/// An exchange ends by exactly one of onEnd, onFailed and cancel(). No handler is called from within send(), and none after
/// cancel(). Handlers may call send(), cancel(), pauseReading() and resumeReading().
///
///   stage        what ends it                                     reported as
///   pending      as many connections to the host as allowed       noCapacity          not sent
///   dialling     refused, unreachable, dial time-out              notConnected        not sent
///   sending,     reset, close                                     resetBeforeAnswer   may have run
///   waiting      bytes that form no answer                        malformedAnswer     may have run
///                X-Attempt-Id of another request, or none         foreignAnswer       may have run
///   answering    close, reset, bad chunk                          brokenAnswer        may have run
///   any          the exchange's time-out                          timedOut (notConnected while dialling)
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "upstream/headers.hpp"
#include "upstream/host_address.hpp"

namespace asio {
class io_context;
}

namespace beechpoint::upstream {

/// A request to a host.
struct Request {
    std::string method, target;
    Headers headers;                          ///< end to end only; Host among them; framing is added here
    std::shared_ptr<const std::string> body;  ///< null: none
    std::string attemptId;                    ///< sent as X-Attempt-Id where `headers` lack it; empty: none
    /// Answers must carry exactly `attemptId` in X-Attempt-Id. Otherwise only one that carries another is refused.
    bool requireAttemptId = true;
};

/// The head of a final answer.
struct AnswerHead {
    int status = 0;
    Headers headers;  ///< end to end only
    /// Of the body to come; nothing: chunked or to the end of the connection.
    std::optional<std::uint64_t> contentLength;
    bool noBody = false;  ///< HEAD, 204, 304 (contentLength may still be that of a HEAD answer)
    /// The body ends where the connection does (RFC 9112, 6.3): a host that is killed closes it just so.
    bool closeDelimited = false;
    bool reused = false;      ///< came on a connection that was used before
    bool hostCloses = false;  ///< Connection: close
    Millis connectTime = 0;   ///< what the dial took; 0 where reused
};

enum class FailureKind {
    noCapacity,         ///< all of the connections allowed to the host are in use
    notConnected,       ///< the dial failed or timed out
    resetBeforeAnswer,  ///< the connection ended after the request was begun and before an answer
    brokenAnswer,       ///< ended early or malformed inside the answer's body
    malformedAnswer,    ///< the bytes received form no answer
    foreignAnswer,      ///< the answer belongs to another request
    timedOut,
    cancelled,  ///< closeAll(); cancel() itself reports nothing
};
[[nodiscard]] std::string_view nameOf(FailureKind kind);

struct Failure {
    FailureKind kind = FailureKind::notConnected;
    bool sent = false;      ///< at least one byte of the request was given to the system: it may have run
    bool headSeen = false;  ///< onHead was called
    bool reused = false;    ///< on a connection that was used before
    std::string message;    ///< for the log
};

/// What an exchange calls; each may be empty.
struct Handlers {
    std::function<void(const AnswerHead&)> onHead;
    std::function<void(std::string_view)> onData;  ///< body bytes without the transfer coding
    std::function<void()> onEnd;                   ///< the complete answer has come
    std::function<void(const Failure&)> onFailed;
};

/// Names an exchange; never used twice. 0 names none.
using Handle = std::uint64_t;

struct UpstreamSettings {
    Millis dialTimeout = 1000;
    Millis userTimeout = 5000;  ///< TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
    /// An unused connection stays open so long where its host states no Keep-Alive time.
    Millis idleWithoutKeepAlive = 400;
    Millis idleMargin = 300;  ///< taken off the time that the host states
    Millis idleMax = 30'000;
    std::size_t idlePerHost = 64;      ///< unused connections to one host
    std::size_t hosts = 4096;          ///< hosts with connections; the one unused the longest is evicted
    std::size_t maxHead = 64 * 1024;   ///< bytes of an answer's head
    std::size_t readSize = 64 * 1024;  ///< bytes taken from one connection before others have their turn
};

/// Since the start.
struct UpstreamCounts {
    std::uint64_t dials = 0, dialFailures = 0, reuses = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t surplus = 0;     ///< connections dropped for bytes that belong to no request
    std::uint64_t idleClosed = 0;  ///< unused connections ended by either side
    std::uint64_t evictedHosts = 0;
};

class ConnectionPool;

class Upstream {
public:
    /// `io` and `clock` must outlive it.
    Upstream(asio::io_context& io, const Clock& clock, UpstreamSettings settings = {});
    /// Drops what is open; no handler is called any more.
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    /// Sends a request on an unused connection that has not carried its attempt id, or on a new one, of which there may be
    /// `maxConnections` to that host, dials under way included. `timeout`: ms from now to the end of the answer.
    Handle send(const HostAddress& host, std::size_t maxConnections, Request request, Millis timeout,
                Handlers handlers);
    /// Closes the exchange's connection at once, so that the host drops the request. Unknown and ended handles are ignored.
    void cancel(Handle handle);
    /// Stops and goes on taking bytes of the answer, for a client that reads slowly. A few bytes already read may still
    /// come after pauseReading().
    void pauseReading(Handle handle);
    void resumeReading(Handle handle);
    /// Whether at least one byte of the request was given to the system.
    [[nodiscard]] bool sent(Handle handle) const;

    /// Closes unused connections to all hosts but these; those in use end with their exchange.
    void closeUnusedExceptTo(const std::vector<HostAddress>& hosts);
    /// The same for one host.
    void drop(const HostAddress& host);

    /// Closes everything; open exchanges end with `cancelled`.
    void closeAll();

    /// Open connections to the host, used and unused, dials included.
    [[nodiscard]] std::size_t connections(const HostAddress& host) const;
    [[nodiscard]] std::size_t unused(const HostAddress& host) const;
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] std::size_t exchanges() const;
    [[nodiscard]] const UpstreamCounts& counts() const;

private:
    std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace beechpoint::upstream
