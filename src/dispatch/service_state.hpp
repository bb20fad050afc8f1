/// A service as the dispatcher knows it: its settings, this gateway's part of the budgets, and its hosts' common figures.
#pragma once

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"
#include "dispatch/retry_budget.hpp"
#include "dispatch/slow_start_budget.hpp"

namespace beechpoint::dispatch {

/// Owned by ServiceTable.
struct ServiceState {
    explicit ServiceState(const RetryBounds& bounds) : budget(bounds) {}

    Service service;
    RetryBudget budget;
    SlowStartShare slowStartShare;
    ServiceLoad load;
    bool configured = false;            ///< in the configuration in force
    bool slowStartShareUnsure = false;  ///< made while sends of an earlier process may still count
    Millis usedAt = 0;

    /// Whether hosts that are warming up have a bound of requests.
    [[nodiscard]] bool warmupBounded() const { return service.warmupPerS > 0; }
    [[nodiscard]] Millis warmup() const { return service.warmupS * 1000; }
};

}  // namespace beechpoint::dispatch
