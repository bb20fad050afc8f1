// Which hosts are full, cut off, cold or back, as attempts and probes tell. A host whose connection broke, or that can't be
// connected to, may be dead long before the platform's list says so: it gets nothing until a probe passes.
#pragma once

#include <limits>

#include "core/clock.hpp"
#include "dispatch/action_list.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

class HostHealth {
public:
    HostHealth(HostTable& hosts, ActionList& actions) : hosts_(hosts), actions_(actions) {}

    // It says that it is full: it gets nothing for about one mean time. Overload is no fault.
    void markFull(HostSlot& slot, const RouteRecord& route, Millis now);
    // `down`: it could not be reached at all, and may start anew.
    void markPartitioned(HostSlot& slot, bool down, Millis now);
    void markReachable(HostSlot& slot, Millis now);
    void markWarmingUp(const WarmupReported& seen, Millis now);
    void healthCheckEnded(const HealthCheckEnded& ended, Millis now);
    // Asks after a host that is silent, unless that is under way.
    void checkUnresponsive(HostSlot& slot, Millis now);
    // Asks after all that are cut off, as far as that is due.
    void checkPartitioned(Millis now);
    // When the next of these is due.
    Millis nextCheckAt() const { return nextCheckAt_; }

private:
    void requestHealthCheck(HostSlot& slot, Millis now);

    HostTable& hosts_;
    ActionList& actions_;
    Millis nextCheckAt_ = std::numeric_limits<double>::infinity();
};

}  // namespace beechpoint::dispatch
