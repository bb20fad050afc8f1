/// Admission control at arrival. Requests that would be answered too late are rejected at once, less urgent
/// ones first, so that clients can retry; nothing is rejected while the hosts have free capacity. Pure
/// functions; their input is computed in admission_forecast.hpp.
#pragma once

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// Forecast for a request at the best host that may serve it.
struct AdmissionForecast {
    /// Time until a host starts to process it. Excludes the prefill of its own prompt, so that large prompts
    /// are rejected no more often than small ones.
    Millis wait = 0;
    /// Utilization of all hosts that may serve it, over all gateways; 1: all capacity is in use.
    double utilization = 0;
    Millis latencyTarget = 0;
    Millis deadline = 0;    ///< time left
    int priorityClass = 0;  ///< 0 is the most urgent
};

struct AdmissionDecision {
    bool admitted = true;
    Millis retryAfter = 0;  ///< for the client of a rejected request
};

/// Rejects a request whose expected wait exceeds the tolerated wait of its class, once the hosts are busy.
[[nodiscard]] AdmissionDecision admit(const AdmissionForecast& forecast);

/// Retry-After for a rejected request, at most the third of its remaining time that clients honour. `excess`:
/// the part of the expected wait above the tolerated one.
[[nodiscard]] Millis retryAfter(Millis excess, Millis deadlineLeft);

/// How long a request may be pending for a host before it is given up.
[[nodiscard]] Millis maxPendingTime(Millis latencyTarget, Millis deadlineLeft);

}  // namespace beechpoint::dispatch
