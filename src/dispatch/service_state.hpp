// A service as the dispatcher keeps it: its settings, its part of the shared budgets, and its hosts' common figures.
#pragma once

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"
#include "dispatch/retry_budget.hpp"
#include "dispatch/slow_start_budget.hpp"

namespace beechpoint::dispatch {

struct ServiceState {
    explicit ServiceState(const RetryBounds& bounds) : budget(bounds) {}

    Service service;
    RetryBudget budget;
    SlowStartShare slowStartShare;
    ServiceLoad load;
    bool configured = false;            // in the configuration in force
    bool slowStartShareUnsure = false;  // made while an earlier process may still count
    Millis usedAt = 0;

    bool warmupBounded() const { return service.warmupPerS > 0; }
    Millis warmup() const { return service.warmupS * 1000; }
};

}  // namespace beechpoint::dispatch
