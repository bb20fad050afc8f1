/// Ends requests: their answer is relayed, or they get their final action.
#pragma once

#include "dispatch/dispatch_state.hpp"
#include "dispatch/reject_reason.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Ends each request exactly once. All functions but relay() and cancelOthers() may erase the request from
/// the table, which invalidates the reference. Attempts in flight are cancelled, and their results only
/// update statistics.
class RequestCompletion {
public:
    RequestCompletion(DispatchState& state, RequestTable& requests) : state_(state), requests_(requests) {}

    /// Relays this attempt's answer to the client and cancels the others. No effect if it is already relayed.
    void relay(Request& request, int number);
    /// The relayed answer is complete, or the client has disconnected: only cancels the attempts in flight.
    void end(Request& request);
    /// Ends the request by AbortResponse if the answer has begun, Reject (503) if nothing has run, and
    /// otherwise Fail (502).
    void giveUp(Request& request, RejectReason reason);
    /// Calls giveUp() unless an attempt is in flight that may still answer.
    void giveUpUnlessInFlight(Request& request, RejectReason reason);
    /// The deadline has passed: like giveUp(), but Fail has status 504.
    void timeOut(Request& request);

private:
    void cancelOthers(Request& request, int except);

    DispatchState& state_;
    RequestTable& requests_;
};

}  // namespace beechpoint::dispatch
