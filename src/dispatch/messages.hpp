/// Events that a gateway's dispatcher handles, and actions that it requests from its driver, the gateway.
/// Plain values; times are milliseconds of the process's monotonic clock, durations are milliseconds too.
/// None of them is a wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/reject_reason.hpp"

namespace beechpoint::dispatch {

using RequestId = std::uint64_t;  // assigned by the driver, never reused

enum class RequestType { idempotent, nonIdempotent, streaming };

struct WeightedService {
    std::string name;
    double weight = 1;
};

/// A part of a prompt. Requests share all parts but the last, which belongs to the request or its session.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

// ---- events

/// A client's request has been read. It ends with a relayed answer or a final action.
struct RequestArrived {
    RequestId id = 0;
    std::string attemptId;  ///< the client's X-Attempt-Id, for logging
    std::string route;
    std::vector<WeightedService> services;  ///< the route's traffic split; one is drawn per request
    RequestType type = RequestType::nonIdempotent;
    Millis timeout = 0;        ///< of the route
    Millis latencyTarget = 0;  ///< for the answer, or for a stream's first event
    Millis gapTarget = 0;      ///< for the gap between two events of a stream
    Millis deadline = 0;       ///< time left: the smaller of the client's and the route's
    int priorityClass = 0;     ///< 0 is the most urgent
    int maxAttempts = 1;       ///< maximum number of hosts that the request may be sent to
    bool resumable = false;
    std::vector<PromptPart> prompt;
    std::uint32_t promptTokens = 0;     ///< total; 0: the sum of the parts
    std::uint32_t maxOutputTokens = 0;  ///< of the answer
    std::uint64_t bodyBytes = 0;        ///< of the request; 0: estimated from the tokens
    /// Regions whose hosts may serve it, allowed by both route and tenant. nullopt: any region; empty: none.
    std::optional<std::vector<std::string>> allowedRegions;
};

/// An attempt's response head was received; its attempt id and framing are valid. `rejected`: X-Not-Executed
/// or status 421.
struct AttemptHead {
    RequestId id = 0;
    int attempt = 0;
    int status = 0;
    bool rejected = false;
    bool sealed = true;       ///< has X-Server-Seal; a 2xx without it is not a success
    bool eventStream = true;  ///< the body is a stream of events; without it no open stream is resumed
    std::optional<std::uint64_t> bodyBytes;  ///< Content-Length, if present
};

/// The first event of a stream, or the first body byte of any other answer. At most once per attempt.
struct AttemptFirstByte {
    RequestId id = 0;
    int attempt = 0;
};

enum class Outcome {
    served,             ///< complete answer, whatever its status, unless rejected
    hostError,          ///< the host answered with its own failure (5xx); the request ran
    rejected,           ///< X-Not-Executed: did not run
    misdirected,        ///< 421: the instance is no longer at that address; did not run
    notConnected,       ///< no connection, or no byte of the request written: did not run
    noCapacity,         ///< the driver's connection limits were reached: did not run
    resetBeforeAnswer,  ///< sent, then reset or closed before a head: may have run
    incomplete,         ///< the answer was truncated
    malformed,          ///< not a valid HTTP answer
    attemptIdMismatch,  ///< the answer has another attempt's id
    timedOut,           ///< Send::timeout passed; may have run
    cancelled           ///< ended by Cancel; may have run
};

/// Exactly one for each Send, including after Cancel and after the request has ended.
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;
    Outcome outcome = Outcome::served;
    std::string lastEventId;  ///< of a stream: the last event relayed completely; empty: none
    Millis warmupLeft = 0;    ///< X-Warmup-Remaining, if the answer had it
    /// Of a relayed answer: another host may go on behind what the client has, without a piece twice or of another kind.
    bool continuable = true;
};

struct ClientDisconnected {
    RequestId id = 0;
};

enum class HostState { serving, draining };

/// A host in the platform's host list.
struct Host {
    std::string instanceId;
    std::string service;
    std::string address;
    std::string zone;
    std::string region;  ///< empty: unknown, which matches no allowed region
    int capacity = 1;
    HostState state = HostState::serving;
    Millis warmupLeft = 0;
    std::optional<Millis> remaining;  ///< announced time until the host terminates
};

/// The complete host list, which replaces the earlier one. A list that could not be read causes no event.
struct HostList {
    std::vector<Host> hosts;
};

/// The part of a service's configuration that the dispatcher uses.
struct Service {
    std::string name;
    double warmupS = 0;
    double warmupPerS = 0;  ///< requests per second allowed for a host that is warming up; 0: no bound
    int maxConnections = 0;
    bool engine = false;  ///< its hosts are model servers that prefill prompts and cache prefixes
    std::uint64_t cacheTokens = 0;
};

/// All services of the active configuration.
struct ServiceList {
    std::vector<Service> services;
};

/// All evacuated zones.
struct EvacuatedZones {
    std::vector<std::string> zones;
};

/// The number of gateways that share the budgets: the maximum number of live gateways in the last retry
/// window. While it is unknown, this gateway's share of the slack and of slow start is 0. `rank`: this
/// gateway's index in the sorted names of the live ones, or -1.
struct Fleet {
    int liveGateways = 1;
    bool known = false;
    int rank = -1;
};

/// A host reported that it is warming up (X-Warmup-Remaining, or a health answer).
struct WarmupReported {
    std::string instanceId;
    Millis left = 0;
};

/// The result of a CheckHealth: a GET of the service's health path. Healthy requires 200 and this instance's
/// X-Instance-Id.
struct HealthCheckEnded {
    std::string instanceId;
    bool healthy = false;
    Millis warmupLeft = 0;
    bool answered = false;  ///< the host sent an HTTP answer of any status
};

/// Attempts that are waiting for their first event at a host, and the host's expected prefill time for them.
struct HostLoad {
    std::uint32_t host = 0;  ///< hostKey() of the instance
    int waiting = 0;
    double workS = 0;  ///< expected prefill time, seconds
    bool operator==(const HostLoad&) const = default;
};

/// Ratio of a host's measured prefill time to the expected time of an average host.
struct HostSpeed {
    std::uint32_t host = 0;
    double slowness = 1;
    bool operator==(const HostSpeed&) const = default;
};

/// Identifies a host in messages between gateways: a hash of the instance id that is the same in all
/// gateways.
std::uint32_t hostKey(const std::string& instanceId);

/// Load reported by another gateway or zone. `full`: hosts that are not listed have no load from this source.
struct PeerLoad {
    std::uint64_t source = 0;
    bool full = false;
    std::vector<HostLoad> hosts;
    Millis validFor = 2500;         ///< the report expires after this time
    std::vector<HostSpeed> speeds;  ///< measured since the source's last report
};

/// The process shuts down: every request gets its final action now, and nothing more is sent to hosts.
struct ShutDown {};

/// The timer of SetTimer has expired.
struct Tick {};

using Event = std::variant<RequestArrived, AttemptHead, AttemptFirstByte, AttemptEnded, ClientDisconnected,
                           HostList, ServiceList, EvacuatedZones, Fleet, WarmupReported, HealthCheckEnded,
                           PeerLoad, ShutDown, Tick>;

// ---- actions

/// Sends the request to a host, with X-Target-Instance. The driver buffers the answer (head, and body up to
/// kMaxBufferedBytes) until Relay, Cancel or the attempt's end.
struct Send {
    RequestId id = 0;
    int attempt = 0;  ///< numbered from 0 within a request
    std::string instanceId;
    std::string address;
    std::string service;
    Millis timeout = 0;   ///< of the attempt; sent as X-Deadline-Remaining
    int priority = 5;     ///< the Priority header, for model servers
    bool engine = false;  ///< whether to send the Priority header
    /// Resumes a relayed stream in the answer that the client is already receiving: events continue after
    /// `lastEventId` (empty: from the first one, without the header), and the new head is not relayed.
    bool resume = false;
    std::string lastEventId;
};

/// Cancels an attempt in flight; its AttemptEnded (cancelled) follows.
struct Cancel {
    RequestId id = 0;
    int attempt = 0;
};

/// Relays this attempt's answer to the client: what was buffered and all that follows. It may come after the
/// attempt's end, in the same batch of actions. After a resuming Send it continues the answer that is already
/// open.
struct Relay {
    RequestId id = 0;
    int attempt = 0;
};

/// Final: the request has not run and will not. `retryAfter` 0: no Retry-After. `reason` is for logs and
/// tests, not for the client.
struct Reject {
    RequestId id = 0;
    int status = 503;
    Millis retryAfter = 0;
    RejectReason reason = RejectReason::noHostAvailable;
};

/// Final: 502 or 504. The request may have run.
struct Fail {
    RequestId id = 0;
    int status = 502;
    RejectReason reason = RejectReason::deadlinePassed;  ///< for logs and tests
};

/// Final: the relayed answer cannot be completed. It is ended without a proper close, so that the client
/// detects it.
struct AbortResponse {
    RequestId id = 0;
    RejectReason reason = RejectReason::deadlinePassed;  ///< for logs and tests
};

/// Starts a health check of a host; its HealthCheckEnded must follow within a second.
struct CheckHealth {
    std::string instanceId;
    std::string address;
    std::string service;
};

/// Requests a Tick at this time, instead of the one requested before.
struct SetTimer {
    Millis at = 0;
};

/// This gateway's load at the hosts where it has changed, to be sent to the other gateways.
struct ReportLoad {
    std::vector<HostLoad> hosts;
    std::vector<HostSpeed> speeds;  ///< measured since the last report
};

/// A line for the gateway's log.
struct Log {
    std::string kind;  ///< one of a small fixed set; operators search for it
    std::string text;
};

using Action =
    std::variant<Send, Cancel, Relay, Reject, Fail, AbortResponse, CheckHealth, SetTimer, ReportLoad, Log>;

/// A non-streaming answer to an idempotent request is relayed only once it is complete, if it is no longer
/// than this.
inline constexpr std::uint64_t kMaxBufferedBytes = 65536;

}  // namespace beechpoint::dispatch
