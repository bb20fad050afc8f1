/// Reports to the other gateways what this one has waiting at each host.
#pragma once

#include "dispatch/dispatch_state.hpp"

namespace beechpoint::dispatch {

/// The outgoing side of load reports; ReportedLoad is the incoming one.
class LoadReporter {
public:
    explicit LoadReporter(DispatchState& state) : state_(state) {}

    /// Forgets gateways that report no longer, and adds one ReportLoad with what changed since the last one, if anything.
    void report();

private:
    ReportLoad takeChanges();

    DispatchState& state_;
};

}  // namespace beechpoint::dispatch
