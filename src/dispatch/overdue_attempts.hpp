/// Handles attempts whose first byte is overdue: hedged requests, and health checks of unresponsive hosts.
#pragma once

#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/attempt_sender.hpp"
#include "dispatch/dispatch_state.hpp"

namespace beechpoint::dispatch {

/// Checks the attempts in flight of one request at a time. Holds no state of its own.
class OverdueAttempts {
public:
    OverdueAttempts(DispatchState& state, AttemptSender& sender) : state_(state), sender_(sender) {}

    /// Requests health checks of unresponsive hosts, and sends a hedged attempt if that is expected to answer
    /// earlier.
    void check(Request& request);
    /// Time of the next check of a request with attempts in flight, at most its deadline.
    [[nodiscard]] Millis nextCheckAt(const Request& request) const;

private:
    void checkUnresponsiveHosts(const Request& request);
    void hedge(Request& request);
    bool isWorthHedging(const Request& request, const Attempt& attempt,
                        const std::vector<coordinator::policy::Scored>& choice, double silence);

    DispatchState& state_;
    AttemptSender& sender_;
};

}  // namespace beechpoint::dispatch
