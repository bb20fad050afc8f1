/// The times t and failure rates f that the retry design's score is made of, learnt from this gateway's own attempts, and
/// for model hosts the time to prefill what a prompt has that the host is not expected to have cached.
#pragma once

#include <algorithm>
#include <string>

#include "coordinator/score.hpp"
#include "core/clock.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/prefill_rate.hpp"

namespace beechpoint::dispatch {

/// What is known of a route's requests over all hosts. Times are normal ones: without queue and prefill.
struct RouteRecord {
    RouteId id = 0;
    coordinator::policy::Mean time{coordinator::policy::kWindowS};
    Millis latencyTarget = 0;
    Millis usedAt = 0;

    static constexpr Millis kLeastTarget = 10;
    double gainTargetS() const {
        return coordinator::policy::kGainShare * std::max(latencyTarget, kLeastTarget) * 1e-3;
    }
    double timeS(Millis now) const { return time.value(toNanos(now), gainTargetS()); }
};

/// What is common to the hosts of a service.
struct ServiceLoad {
    bool engine = false;
    PrefillRate rate;
    double usualWaiting = 0;  ///< own attempts per host without a first event, over the last seconds
    int gateways = 1;
    bool othersReported = false;  ///< the other gateways report what they have waiting
    bool hostSpeed = true;        ///< hosts differ in speed
};

/// An attempt as it was sent.
struct SentAttempt {
    int host = 0;
    std::string service;
    std::string route;
    Millis sentAt = 0;
    double tokens = 0;    ///< to be prefilled, as expected
    double workS = 0;     ///< and the seconds that it takes
    int ahead = 0;        ///< own attempts without a first event then
    double aheadS = 0;    ///< seconds of prefill before it, of all gateways as far as known
    bool waiting = true;  ///< for the first event
};

/// Functions over the records; owns nothing.
class Predictor {
public:
    /// Seconds to the first event of a request of the route that has `tokens` to be prefilled there.
    [[nodiscard]] static double timeS(const HostSlot& slot, const RouteRecord& route, const ServiceLoad& load,
                                      double tokens, Millis now);
    /// Seconds that the host still prefills for what waits there, of all gateways as far as known.
    [[nodiscard]] static double backlog(const HostSlot& slot, const ServiceLoad& load, Millis now);
    /// Seconds that the host takes to prefill so many prompt tokens.
    [[nodiscard]] static double prefillS(const HostSlot& slot, const ServiceLoad& load, double tokens,
                                         Millis now);
    /// Expected part of the route's requests that fail there.
    [[nodiscard]] static double failureRate(const HostSlot& slot, RouteId route, Millis now);

    /// An attempt is sent: it is waiting there.
    static void sent(HostSlot& slot, RouteId route, const SentAttempt& attempt);
    /// It no longer waits: its first event came, or it ended.
    static void waitingEnded(HostSlot& slot, RouteId route, SentAttempt& attempt, Millis now);
    /// It took `tookS` to its first event (or complete answer), or certainly more (`atLeast`).
    static void learnTime(HostSlot& slot, RouteRecord& route, ServiceLoad& load, const SentAttempt& attempt,
                          double tookS, bool atLeast, Millis now);
    /// It ended: `served` properly, or as the host's failure.
    static void learnEnd(HostSlot& slot, RouteId route, bool served, Millis now);
};

}  // namespace beechpoint::dispatch
