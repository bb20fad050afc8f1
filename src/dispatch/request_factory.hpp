/// Creates a Request from its RequestArrived event.
#pragma once

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/request.hpp"

namespace beechpoint::dispatch {

/// `draw`, in [0, 1), selects the service by the weights of the route's split. Request::service stays empty
/// if the weights sum to 0.
[[nodiscard]] Request makeRequest(const RequestArrived& arrived, double draw, Millis now);

}  // namespace beechpoint::dispatch
