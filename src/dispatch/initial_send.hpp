/// Chooses the first hosts of a request: the weighted draw and the width test of the retry design.
#pragma once

#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/request_completion.hpp"

namespace beechpoint::dispatch {

/// Sends the first attempt, or several parallel first attempts if that is expected to gain enough for an
/// idempotent request.
class InitialSend {
public:
    InitialSend(DispatchState& state, AttemptSender& sender, RequestCompletion& completion)
        : state_(state), sender_(sender), completion_(completion) {}

    /// Sends a request that has no attempt yet, or makes it pending if no host can take it now. If it is
    /// given up, it is erased.
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
