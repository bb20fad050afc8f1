/// Computes the input of admission control: the expected wait and the utilization of the hosts.
#pragma once

#include <vector>

#include "core/clock.hpp"
#include "dispatch/admission.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/request.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

/// Forecast for a request at the best of the `allowed` hosts (indexes in the table). The used capacity is
/// extrapolated from this gateway's own attempts, on the assumption that all gateways send equally many.
[[nodiscard]] AdmissionForecast forecast(const Request& request, const HostTable& hosts,
                                         const std::vector<int>& allowed, const RouteRecord& route,
                                         const ServiceState& service, Millis now);

}  // namespace beechpoint::dispatch
