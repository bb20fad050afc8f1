/// Predicts the times t and failure rates f of the retry design's score from this gateway's own attempts and,
/// for model servers, the time to prefill the part of a prompt that the host is not expected to have cached.
#pragma once

#include <algorithm>
#include <string>

#include "coordinator/score.hpp"
#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/prefill_rate.hpp"

namespace beechpoint::dispatch {

/// Statistics of a route's requests over all hosts. Times exclude queueing and prefill.
struct RouteRecord {
    RouteId id = 0;
    coordinator::policy::Mean time{coordinator::policy::kWindowS};
    Millis latencyTarget = 0;
    Millis usedAt = 0;

    static constexpr Millis kMinLatencyTarget = 10;
    double gainTargetS() const {
        return coordinator::policy::kGainShare * std::max(latencyTarget, kMinLatencyTarget) * 1e-3;
    }
    double timeS(Millis now) const { return time.value(toNanos(now), gainTargetS()); }
};

/// State common to the hosts of a service.
struct ServiceLoad {
    bool engine = false;
    PrefillRate rate;
    double meanWaitingPerHost = 0;  ///< this gateway's attempts without a first event, moving average
    int gateways = 1;
    bool peerLoadKnown = false;  ///< the other gateways report their load
    bool hostSpeed = true;       ///< whether to use the measured speed of each host
};

/// An attempt in flight, with the predictions from the time it was sent.
struct SentAttempt {
    int host = 0;
    std::string service;
    std::string route;
    Millis sentAt = 0;
    double prefillTokens = 0;  ///< expected tokens to prefill
    double prefillS = 0;       ///< expected time to prefill them, seconds
    int attemptsAhead = 0;     ///< attempts already waiting at the host, of all known gateways
    double prefillAheadS = 0;  ///< prefill time of these, seconds
    bool awaitingFirstByte = true;
};

/// Stateless functions on the records.
class Predictor {
public:
    /// Expected seconds to the first event of a request of the route with `tokens` to prefill at the host.
    [[nodiscard]] static double timeS(const HostSlot& slot, const RouteRecord& route, const ServiceLoad& load,
                                      double tokens, Millis now);
    /// Remaining prefill time of the attempts waiting at the host, of all known gateways, in seconds.
    [[nodiscard]] static double backlog(const HostSlot& slot, const ServiceLoad& load, Millis now);
    /// Seconds that the host takes to prefill `tokens`.
    [[nodiscard]] static double prefillS(const HostSlot& slot, const ServiceLoad& load, double tokens,
                                         Millis now);
    /// Expected fraction of the route's requests that fail at the host.
    [[nodiscard]] static double failureRate(const HostSlot& slot, RouteId route, Millis now);

    /// An attempt is sent to the host and waits for its first event.
    static void recordSend(HostSlot& slot, RouteId route, const SentAttempt& attempt);
    /// The attempt stops waiting: its first event was received, or it ended.
    static void endWaiting(HostSlot& slot, RouteId route, SentAttempt& attempt, Millis now);
    /// Records the time to the first event (or complete answer); `isLowerBound`: it was not received within
    /// `elapsedS`.
    static void recordTime(HostSlot& slot, RouteRecord& route, ServiceLoad& load, const SentAttempt& attempt,
                           double elapsedS, bool isLowerBound, Millis now);
    /// Records whether the attempt was served or failed at the host.
    static void recordOutcome(HostSlot& slot, RouteId route, bool served, Millis now);
};

}  // namespace beechpoint::dispatch
