/// What becomes of a request at its arrival: rejected, or taken in and sent.
#pragma once

#include <optional>

#include "dispatch/admission.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/initial_send.hpp"
#include "dispatch/request_checks.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Applies the limits at arrival in this order: a service to send to and time left, the limit of requests, admission.
class RequestArrivals {
public:
    RequestArrivals(DispatchState& state, RequestTable& requests, AttemptSender& sender,
                    InitialSend& initialSend, RequestChecks& checks)
        : state_(state), requests_(requests), sender_(sender), initialSend_(initialSend), checks_(checks) {}

    /// A request that is known already changes nothing. Each other one takes one random draw, also a rejected one.
    void handle(const RequestArrived& arrived);

private:
    std::optional<Reject> rejection(const Request& request);
    AdmissionDecision admission(const Request& request);

    DispatchState& state_;
    RequestTable& requests_;
    AttemptSender& sender_;
    InitialSend& initialSend_;
    RequestChecks& checks_;
};

}  // namespace beechpoint::dispatch
