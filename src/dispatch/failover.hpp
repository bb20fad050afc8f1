/// Chooses the next host after an attempt ended without a usable answer: the failure tree of the retry
/// design.
#pragma once

#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/request_completion.hpp"

namespace beechpoint::dispatch {

/// Decides about retries. The failure tree (coordinator/failure_tree.hpp) is shared with the gatherer's
/// coordinator.
class Failover {
public:
    /// Passed as `failed` if no attempt failed: the request was pending.
    static constexpr int kNoHost = -1;

    Failover(DispatchState& state, AttemptSender& sender, RequestCompletion& completion)
        : state_(state), sender_(sender), completion_(completion) {}

    /// Sends the request to the next host, waits for its other attempts, makes it pending, or gives it up,
    /// which erases it. `failed`: index in the host table of the host whose attempt ended.
    void retry(Request& request, int failed);

private:
    DispatchState& state_;
    AttemptSender& sender_;
    RequestCompletion& completion_;
};

}  // namespace beechpoint::dispatch
