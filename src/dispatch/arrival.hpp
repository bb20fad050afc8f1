// A request as the dispatcher takes it in: which service it is for, and what it faces there.
#pragma once

#include "core/clock.hpp"
#include "dispatch/admission.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/request.hpp"
#include "dispatch/service_state.hpp"

namespace beechpoint::dispatch {

// `draw`, from 0 up to 1, picks the service by the weights of the route; none where they add up to nothing.
Request newRequest(const RequestArrived& arrived, double draw, Millis now);

// The wait at the best of these hosts and the share of their places that are taken. Places taken are estimated from own attempts,
// taken for an even part of all gateways'.
Outlook outlookOf(const Request& request, const HostTable& hosts, const std::vector<int>& allowed,
                  const RouteRecord& route, const ServiceState& service, Millis now);

}  // namespace beechpoint::dispatch
