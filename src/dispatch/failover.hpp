/// Where a request goes after an attempt has ended without an answer: the failure tree of the retry design.
#pragma once

#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/request_completion.hpp"

namespace beechpoint::dispatch {

/// Decides on retries. Shares the failure tree (coordinator/failure_tree.hpp) with the gatherer's coordinator.
class Failover {
public:
    /// In place of a host: no attempt failed just now, the request was pending.
    static constexpr int kNoHost = -1;

    Failover(DispatchState& state, AttemptSender& sender, RequestCompletion& completion)
        : state_(state), sender_(sender), completion_(completion) {}

    /// Sends the request to the next host, leaves it to its other attempts, makes it pending, or gives it up (it is
    /// erased then). `failed`: the host table's index of the host whose attempt ended.
    void retry(Request& request, int failed);

private:
    DispatchState& state_;
    AttemptSender& sender_;
    RequestCompletion& completion_;
};

}  // namespace beechpoint::dispatch
