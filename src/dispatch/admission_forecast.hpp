/// The figures that admission decides by: the wait to be expected, and how busy the hosts are.
#pragma once

#include <vector>

#include "core/clock.hpp"
#include "dispatch/admission.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/request.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

/// For a request at the best of these hosts (indexes of the table). The used capacity is estimated from this gateway's own
/// attempts, taken for an even part of all gateways'.
[[nodiscard]] AdmissionForecast forecast(const Request& request, const HostTable& hosts,
                                         const std::vector<int>& allowed, const RouteRecord& route,
                                         const ServiceState& service, Millis now);

}  // namespace beechpoint::dispatch
