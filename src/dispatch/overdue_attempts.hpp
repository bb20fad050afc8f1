/// Attempts whose first byte is later than expected: hedged requests, and health checks of unresponsive hosts.
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

    /// Asks for health checks of hosts that are unresponsive, and sends a hedged attempt where that is expected to pay.
    void check(Request& request);
    /// When a request with attempts in flight is to be checked next, its deadline at the latest.
    [[nodiscard]] Millis nextCheckAt(const Request& request) const;

private:
    void checkUnresponsiveHosts(const Request& request);
    void hedge(Request& request);
    bool pays(const Request& request, const Attempt& attempt,
              const std::vector<coordinator::policy::Scored>& choice, double silence);

    DispatchState& state_;
    AttemptSender& sender_;
};

}  // namespace beechpoint::dispatch
