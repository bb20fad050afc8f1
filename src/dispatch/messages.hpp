/// What a gateway's dispatcher is notified of (events) and what it tells its driver, the gateway, to do (actions). Plain
/// values; times are Millis of the program's monotonic clock, durations Millis as well. None of them goes on the wire as
/// it is.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/reject_reason.hpp"

namespace beechpoint::dispatch {

using RequestId = std::uint64_t;  // the driver's, never used twice

enum class RequestType { idempotent, nonIdempotent, streaming };

struct WeightedService {
    std::string name;
    double weight = 1;
};

/// A part of a prompt. Parts are shared between requests; the last one is the request's own or its session's.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

// ---- events

/// A client's request has been read. Answered by Relay or a final action.
struct RequestArrived {
    RequestId id = 0;
    std::string attemptId;  ///< the client's X-Attempt-Id, for the log
    std::string route;
    std::vector<WeightedService> services;  ///< the route's traffic split; one is drawn for each request
    RequestType type = RequestType::nonIdempotent;
    Millis timeout = 0;        ///< of the route
    Millis latencyTarget = 0;  ///< to the answer, or to a stream's first event
    Millis gapTarget = 0;      ///< longest gap between a stream's events that is in time
    Millis deadline = 0;       ///< time left from now: the smaller one of the client's and the route's
    int priorityClass = 0;     ///< 0 is the most urgent
    int maxAttempts = 1;       ///< most hosts that the request may be sent to
    bool resumable = false;
    std::vector<PromptPart> prompt;
    std::uint32_t promptTokens = 0;     ///< in all; 0: the sum of the parts
    std::uint32_t maxOutputTokens = 0;  ///< most tokens of the answer
    std::uint64_t bodyBytes = 0;        ///< of the request; 0: guessed from the tokens
    /// Regions whose hosts may serve it (of route and tenant, both binding): nothing is any, an empty list none.
    std::optional<std::vector<std::string>> allowedRegions;
};

/// An attempt's answer has begun and checks so far (id, framing). `rejected`: X-Not-Executed or status 421.
struct AttemptHead {
    RequestId id = 0;
    int attempt = 0;
    int status = 0;
    bool rejected = false;
    bool sealed = true;                      ///< a 2xx without X-Server-Seal is no success
    std::optional<std::uint64_t> bodyBytes;  ///< Content-Length, where there is one
};

/// The first event of a stream, or the first byte of another answer's body. Comes once an attempt.
struct AttemptFirstByte {
    RequestId id = 0;
    int attempt = 0;
};

enum class Outcome {
    served,             ///< the complete answer came, whatever its status but for rejected
    hostError,          ///< the host answered with a failure of its own (5xx); it ran
    rejected,           ///< X-Not-Executed: never ran
    misdirected,        ///< 421: the addressed instance is not at that address any more; never ran
    notConnected,       ///< no connection, or nothing of the request was written: never ran
    noCapacity,         ///< the driver had no connection to give within its limits: never ran
    resetBeforeAnswer,  ///< sent, then reset or closed before any head: may have run
    incomplete,         ///< the answer began and ended early
    malformed,          ///< bytes that are no answer
    attemptIdMismatch,  ///< an answer with another attempt's id
    timedOut,           ///< Send::timeout passed; may have run
    cancelled           ///< by Cancel; may have run
};

/// Exactly one for each Send, also after the request's end and after Cancel.
struct AttemptEnded {
    RequestId id = 0;
    int attempt = 0;
    Outcome outcome = Outcome::served;
    std::string lastEventId;  ///< of a stream: the last event that was passed on completely; empty: none
    Millis warmupLeft = 0;    ///< X-Warmup-Remaining, where the answer carried one
};

struct ClientDisconnected {
    RequestId id = 0;
};

enum class HostState { serving, draining };

/// A host of the platform's list.
struct Host {
    std::string instanceId;
    std::string service;
    std::string address;
    std::string zone;
    std::string region;  ///< empty: unknown, which no allowed region is
    int capacity = 1;
    HostState state = HostState::serving;
    Millis warmupLeft = 0;
    std::optional<Millis> remaining;  ///< announced time until it ends
};

/// The complete host list, each time. A list that could not be read makes no event.
struct HostList {
    std::vector<Host> hosts;
};

/// A service of the configuration, as far as the dispatcher needs it.
struct Service {
    std::string name;
    double warmupS = 0;
    double warmupPerS = 0;  ///< requests a second that a host that is warming up bears; 0: no bound
    int maxConnections = 0;
    bool engine = false;  ///< a model host: it prefills prompts and caches parts of them
    std::uint64_t cacheTokens = 0;
};

/// All services of the configuration in force.
struct ServiceList {
    std::vector<Service> services;
};

/// All zones that are evacuated.
struct EvacuatedZones {
    std::vector<std::string> zones;
};

/// How many gateways divide the budgets among themselves: the largest number live in the last retry window. Unknown: no part of what
/// all have together. `rank`: this one's index among the names of the live ones in order, or -1.
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

/// The result of a CheckHealth: a GET of the service's health path. Healthy only with 200 and this instance's X-Instance-Id.
struct HealthCheckEnded {
    std::string instanceId;
    bool healthy = false;
    Millis warmupLeft = 0;
    bool answered = false;  ///< an HTTP answer came from it, whatever its status
};

/// Attempts that wait for their first event at a host, and how long the host is expected to prefill for them.
struct HostLoad {
    std::uint32_t host = 0;  ///< hostKey() of its instance
    int waiting = 0;
    double workS = 0;  ///< seconds
    bool operator==(const HostLoad&) const = default;
};

/// How long a host took to prefill a prompt, over what was expected of an average host.
struct HostSpeed {
    std::uint32_t host = 0;
    double slowness = 1;
    bool operator==(const HostSpeed&) const = default;
};

/// Identifies a host in messages between gateways: a hash of its instance's id, the same in all gateways.
std::uint32_t hostKey(const std::string& instanceId);

/// What other gateways have waiting. `full`: hosts that are not named have nothing of this source waiting.
struct PeerLoad {
    std::uint64_t source = 0;
    bool full = false;
    std::vector<HostLoad> hosts;
    Millis validFor = 2500;         ///< without a newer report the source counts for nothing after so long
    std::vector<HostSpeed> speeds;  ///< measured since its last report
};

/// The process ends: every request gets its final action now, and no request is sent to a host any more.
struct ShutDown {};

/// The time asked for by SetTimer has come.
struct Tick {};

using Event = std::variant<RequestArrived, AttemptHead, AttemptFirstByte, AttemptEnded, ClientDisconnected,
                           HostList, ServiceList, EvacuatedZones, Fleet, WarmupReported, HealthCheckEnded,
                           PeerLoad, ShutDown, Tick>;

// ---- actions

/// Sends the request to a host, with X-Target-Instance. What comes of it is buffered (head, and body up to kMaxBufferedBytes)
/// until Relay, Cancel or the end.
struct Send {
    RequestId id = 0;
    int attempt = 0;  ///< numbered from 0 in a request
    std::string instanceId;
    std::string address;
    std::string service;
    Millis timeout = 0;   ///< X-Deadline-Remaining, and the attempt's time-out
    int priority = 5;     ///< the Priority header, for model hosts
    bool engine = false;  ///< whether the Priority header is wanted
    /// Takes a relayed stream up again: events go on behind `lastEventId` (empty: from the first, without the header)
    /// in the answer that the client has already; the new head is not passed on.
    bool resume = false;
    std::string lastEventId;
};

/// Ends an attempt that is in flight; its AttemptEnded (cancelled) follows.
struct Cancel {
    RequestId id = 0;
    int attempt = 0;
};

/// This attempt's answer is the client's: all that came and will come of it. It may follow the attempt's end, in the
/// same batch of actions. After a resuming Send it stands for going on in the open answer.
struct Relay {
    RequestId id = 0;
    int attempt = 0;
};

/// Final: it has not run and never will. `retryAfter` 0: no advice. `reason` is for logs and tests, not for the client.
struct Reject {
    RequestId id = 0;
    int status = 503;
    Millis retryAfter = 0;
    RejectReason reason = RejectReason::noHostAvailable;
};

/// Final, without a promise: 502 or 504.
struct Fail {
    RequestId id = 0;
    int status = 502;
    RejectReason reason = RejectReason::deadlinePassed;  ///< for logs and tests
};

/// Final: the relayed answer can't go on and is ended without a proper close, so that the client notices.
struct AbortResponse {
    RequestId id = 0;
    RejectReason reason = RejectReason::deadlinePassed;  ///< for logs and tests
};

/// Checks a host's health; one HealthCheckEnded must follow within a second.
struct CheckHealth {
    std::string instanceId;
    std::string address;
    std::string service;
};

/// A Tick is wanted at this time; replaces the one asked for before.
struct SetTimer {
    Millis at = 0;
};

/// What this gateway has waiting at hosts where that has changed; for the other gateways.
struct ReportLoad {
    std::vector<HostLoad> hosts;
    std::vector<HostSpeed> speeds;  ///< measured since the last time
};

/// A line for the gateway's log.
struct Log {
    std::string kind;  ///< one of few; operators search for it
    std::string text;
};

using Action =
    std::variant<Send, Cancel, Relay, Reject, Fail, AbortResponse, CheckHealth, SetTimer, ReportLoad, Log>;

/// An answer of an idempotent request that is no stream is relayed once it is complete, if its length is at most this.
inline constexpr std::uint64_t kMaxBufferedBytes = 65536;

}  // namespace beechpoint::dispatch
