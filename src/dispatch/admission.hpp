/// Whether a request is taken in at its arrival. What would come too late is rejected at once, the less urgent first, so
/// that its client can come back; nothing is rejected while the hosts have free capacity. Pure rules; the figures come
/// from admission_forecast.hpp.
#pragma once

#include "core/clock.hpp"

namespace beechpoint::dispatch {

/// What is expected for a request at the best host that it may go to.
struct AdmissionForecast {
    /// Until a host begins to work on it. Without the prefill of its own prompt, so that large prompts are rejected no
    /// more often than small ones.
    Millis wait = 0;
    /// Used part of the capacity of all hosts that it may go to, over all gateways; 1: they report that they are full.
    double utilization = 0;
    Millis latencyTarget = 0;
    Millis deadline = 0;    ///< time left
    int priorityClass = 0;  ///< 0 is the most urgent
};

struct AdmissionDecision {
    bool admitted = true;
    Millis retryAfter = 0;  ///< advice to the client of a rejected request
};

/// Rejects a request whose expected wait exceeds what its class tolerates, once the hosts are busy.
[[nodiscard]] AdmissionDecision admit(const AdmissionForecast& forecast);

/// When a rejected client is to come back: soon, and within the third of its time left that it honours. `excess`: by how
/// much the expected wait is too long.
[[nodiscard]] Millis retryAfter(Millis excess, Millis deadlineLeft);

/// For how long a request may be pending, waiting for a host, before it is given up.
[[nodiscard]] Millis maxPendingTime(Millis latencyTarget, Millis deadlineLeft);

}  // namespace beechpoint::dispatch
