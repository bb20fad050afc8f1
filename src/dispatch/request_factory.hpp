/// Makes the dispatcher's Request of the event that announces it.
#pragma once

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/request.hpp"

namespace beechpoint::dispatch {

/// `draw`, from 0 up to 1, picks the service by the weights of the route's split; Request::service stays empty where they
/// add up to nothing.
[[nodiscard]] Request makeRequest(const RequestArrived& arrived, double draw, Millis now);

}  // namespace beechpoint::dispatch
