/// Reports this gateway's load at each host to the other gateways.
#pragma once

#include "dispatch/dispatch_state.hpp"

namespace beechpoint::dispatch {

/// Outgoing load reports; incoming ones are handled by ReportedLoad.
class LoadReporter {
public:
    explicit LoadReporter(DispatchState& state) : state_(state) {}

    /// Expires the reports of other gateways, and adds a ReportLoad with the changes since the last one, if
    /// any.
    void report();

private:
    ReportLoad takeChanges();

    DispatchState& state_;
};

}  // namespace beechpoint::dispatch
