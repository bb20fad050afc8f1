/// Handles arriving requests: they are rejected, or admitted and sent.
#pragma once

#include <optional>

#include "dispatch/admission.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/initial_send.hpp"
#include "dispatch/request_checks.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Checks at arrival, in this order: a service and time left, the request limit, admission control.
class RequestArrivals {
public:
    RequestArrivals(DispatchState& state, RequestTable& requests, AttemptSender& sender,
                    InitialSend& initialSend, RequestChecks& checks)
        : state_(state), requests_(requests), sender_(sender), initialSend_(initialSend), checks_(checks) {}

    /// Ignores a request that is already in the table. Every other request, also a rejected one, uses one
    /// random number.
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
