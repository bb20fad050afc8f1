/// State of a service: its settings, this gateway's share of the budgets, and its load statistics.
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
    bool configured = false;                 ///< in the active configuration
    bool slowStartShareProvisional = false;  ///< computed while sends of a previous process may still count
    Millis usedAt = 0;

    /// Whether requests to hosts that are warming up are limited.
    [[nodiscard]] bool warmupBounded() const { return service.warmupPerS > 0; }
    [[nodiscard]] Millis warmup() const { return service.warmupS * 1000; }
};

}  // namespace beechpoint::dispatch
