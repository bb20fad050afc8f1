/// Decides which host a gateway sends each request to, when to hedge, where to retry, and what to reject. The
/// gateway (src/gateway) owns a Dispatcher, passes events to it and executes its actions. Hosts are chosen by
/// the retry design (src/coordinator; Zheng and Lyu, "A Distributed Replication Strategy Evaluation and
/// Selection Framework for Fault Tolerant Web Services", section 4), within the limits of budgets, slow
/// start, evacuations, prefix affinity and admission. Deterministic: it uses no I/O, clock or thread, and the
/// same seed and events give the same actions. Not thread-safe: it is used on one thread, the gateway's event
/// loop.
///
/// States of a request:
///
/// | state     | meaning                       | next                                                           |
/// | --------- | ----------------------------- | -------------------------------------------------------------- |
/// | pending   | no host can take it now       | in flight; Reject after maxPendingTime()                       |
/// | in flight | attempts have no result yet   | relayed; next host; Reject (did not run); Fail (502, 504)      |
/// | relayed   | an answer is being relayed    | end of the answer; resumed at another host; AbortResponse      |
///
/// A request ends with a final action (Reject, Fail, AbortResponse) or the end of its relayed answer. Its
/// attempts in flight are then cancelled, and their results only update statistics. Events about ended
/// requests are normal. For the reasons of rejections see reject_reason.hpp.
///
/// Parts, one per file: RequestArrivals (admission), InitialSend, Failover and OverdueAttempts (choice of
/// hosts), AttemptSender (rules and budgets), AttemptResults (results of attempts), RequestChecks (timers),
/// RequestCompletion (end of a request), RequestTable, LoadReporter. Their shared state is in DispatchState.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "dispatch/mechanisms.hpp"
#include "dispatch/messages.hpp"

namespace beechpoint::dispatch {

/// Costs of choosing a host, as fractions of the value of a mean request.
struct Prices {
    double sharedRead = 0.14;  ///< per thousand shared prompt tokens that are prefilled again
    double crossRegion = 4.0;  ///< per million bytes between regions
    double crossZone = 8.0;    ///< per million bytes between zones
};

/// Settings of the dispatcher. Budgets apply to all gateways together.
struct Settings {
    std::string region;  ///< of this gateway
    std::string zone;
    double retryBudgetRatio = 0.2;
    Millis retryWindow = 10000;
    double retryBudgetSlack = 0;
    double warmupOvershoot = 1.5;
    double warmupSlack = 0;
    Prices prices;
    Millis crossRegionDelay = 24;     ///< round trip
    std::size_t maxRequests = 20000;  ///< concurrent requests; more are rejected
    Mechanisms mechanisms;
};

/// Entry point of the module.
class Dispatcher {
public:
    /// `now`: the driver's monotonic clock; budgets start at this time.
    Dispatcher(Settings settings, std::uint64_t seed, Millis now);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    /// Handles one event and appends the resulting actions to `out`, in order. A `now` earlier than the
    /// previous one is treated as equal to it.
    void handle(Millis now, const Event& event, std::vector<Action>& out);

    /// Requests that have not ended.
    [[nodiscard]] std::size_t requestCount() const;
    /// Attempts without an AttemptEnded.
    [[nodiscard]] std::size_t attemptsInFlight() const;
    /// Slots of the host table, used or free.
    [[nodiscard]] std::size_t hostSlotCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace beechpoint::dispatch
