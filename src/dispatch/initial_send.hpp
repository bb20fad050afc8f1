/// Where a request goes first: the weighted draw and the width test of the retry design.
#pragma once

#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/request_completion.hpp"

namespace beechpoint::dispatch {

/// Makes the first attempt, or the first ones of an idempotent request for which several hosts at once pay.
class InitialSend {
public:
    InitialSend(DispatchState& state, AttemptSender& sender, RequestCompletion& completion)
        : state_(state), sender_(sender), completion_(completion) {}

    /// Sends a request that has no attempt yet. Where no host may take it now it becomes pending. It may be given up,
    /// and is erased then.
    void send(Request& request);

private:
    using Scores = std::vector<coordinator::policy::Scored>;

    int widthOf(const Request& request, const Scores& choice);
    void sendToOne(Request& request, const Scores& choice);
    void sendToSeveral(Request& request, const Scores& choice);
    double oddsPower() const;

    DispatchState& state_;
    AttemptSender& sender_;
    RequestCompletion& completion_;
};

}  // namespace beechpoint::dispatch
