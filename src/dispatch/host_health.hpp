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
    void full(HostSlot& slot, const RouteRecord& route, Millis now);
    // `down`: it could not be reached at all, and may start anew.
    void cutOff(HostSlot& slot, bool down, Millis now);
    void reached(HostSlot& slot, Millis now);
    void warming(const WarmupReported& seen, Millis now);
    void probeEnded(const HealthCheckEnded& ended, Millis now);
    // Asks after a host that is silent, unless that is under way.
    void probeSilent(HostSlot& slot, Millis now);
    // Asks after all that are cut off, as far as that is due.
    void probeCutHosts(Millis now);
    // When the next of these is due.
    Millis nextProbeAt() const { return nextProbeAt_; }

private:
    void probe(HostSlot& slot, Millis now);

    HostTable& hosts_;
    ActionList& actions_;
    Millis nextProbeAt_ = std::numeric_limits<double>::infinity();
};

}  // namespace beechpoint::dispatch
