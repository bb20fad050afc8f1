/// How a request ends: its answer is relayed, or it gets its final action.
#pragma once

#include "dispatch/dispatch_state.hpp"
#include "dispatch/reject_reason.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Gives each request exactly one end. All functions but relay() and cancelOthers() erase the request from the table:
/// the reference is invalid afterwards. Attempts still in flight are cancelled, and their ends only teach.
class RequestCompletion {
public:
    RequestCompletion(DispatchState& state, RequestTable& requests) : state_(state), requests_(requests) {}

    /// This attempt's answer becomes the client's; the others are cancelled. Nothing where it is already.
    void relay(Request& request, int number);
    /// The relayed answer has come to its end, or nobody waits for the request any more: no action but cancellations.
    void end(Request& request);
    /// Ends it by what is certain: AbortResponse once the answer has begun, Reject (503) where nothing has run, else
    /// Fail (502).
    void giveUp(Request& request, RejectReason reason);
    /// The same, unless an attempt is in flight that may still answer.
    void giveUpUnlessInFlight(Request& request, RejectReason reason);
    /// Its deadline has passed: AbortResponse, Reject (503) where nothing has run, else Fail (504).
    void timeOut(Request& request);

private:
    void cancelOthers(Request& request, int except);

    DispatchState& state_;
    RequestTable& requests_;
};

}  // namespace beechpoint::dispatch
