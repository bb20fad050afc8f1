/// The decisions of a gateway about all its requests: which host, how many hedged attempts, where a failed attempt goes
/// next, what is rejected. The gateway (src/gateway) owns a Dispatcher, tells it events and carries out its actions. The
/// retry design (src/coordinator; Zheng and Lyu, "A Distributed Replication Strategy Evaluation and Selection Framework
/// for Fault Tolerant Web Services", section 4) decides on the ordinary path; budgets, slow start, evacuations, prefix
/// affinity and admission bound it. It is no I/O, clock, thread or randomness but the seed: the same seed and events give
/// the same actions. Not thread-safe: one thread, the gateway's loop.
///
/// A request's states, and what ends each:
///
/// | state     | meaning                       | ends with                                                      |
/// | --------- | ----------------------------- | -------------------------------------------------------------- |
/// | pending   | no host may take it now       | in flight; Reject after maxPendingTime()                       |
/// | in flight | attempts have no result yet   | relayed; next host; Reject (never ran); Fail (502, 504)        |
/// | relayed   | an answer goes to the client  | the answer's end; resumed elsewhere; AbortResponse             |
///
/// A final action (Reject, Fail, AbortResponse) or the end of a relayed answer ends the request; attempts in flight are
/// cancelled then, and their results only teach. Events about requests that are over are normal. Why a request was
/// rejected: reject_reason.hpp.
///
/// Parts, each in a file of its own: RequestArrivals (admission), InitialSend, Failover and OverdueAttempts (where attempts
/// go), AttemptSender (rules and budgets of a send), AttemptResults (what comes back), RequestChecks (time),
/// RequestCompletion (ends), RequestTable, LoadReporter; what they know is in DispatchState.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/mechanisms.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Costs of a choice of host, in parts of a mean request's value.
struct Prices {
    double sharedRead = 0.14;  ///< of a thousand shared prompt tokens that are prefilled again
    double crossRegion = 4.0;  ///< of a million bytes between regions
    double crossZone = 8.0;    ///< of a million bytes between zones
};

/// The deployment's bounds. Budgets are over all gateways.
struct Settings {
    std::string region;  ///< this gateway's own
    std::string zone;
    double retryBudgetRatio = 0.2;
    Millis retryWindow = 10000;
    double retryBudgetSlack = 0;
    double warmupOvershoot = 1.5;
    double warmupSlack = 0;
    Prices prices;
    Millis crossRegionDelay = 24;     ///< there and back
    std::size_t maxRequests = 20000;  ///< at once; beyond it requests are rejected
    Mechanisms mechanisms;
};

/// The one entry point of this module.
class Dispatcher {
public:
    /// `now`: the driver's monotonic clock; budgets count from it.
    Dispatcher(Settings settings, std::uint64_t seed, Millis now);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    /// Handles one event and appends what to do to `out`, in order. A `now` before an earlier one counts as that one.
    void handle(Millis now, const Event& event, std::vector<Action>& out);

    /// Requests without an end.
    [[nodiscard]] std::size_t requestCount() const;
    /// Attempts whose AttemptEnded has not come.
    [[nodiscard]] std::size_t attemptsInFlight() const;
    /// Slots of the host table, in use or spare.
    [[nodiscard]] std::size_t hostSlotCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace beechpoint::dispatch
