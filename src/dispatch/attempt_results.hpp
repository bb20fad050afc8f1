/// Handles the results of attempts: their requests are relayed, retried, resumed or given up.
#pragma once

#include "dispatch/dispatch_state.hpp"
#include "dispatch/failover.hpp"
#include "dispatch/request_checks.hpp"
#include "dispatch/request_completion.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Events about ended attempts or requests are normal: they only update statistics (see AttemptLog).
class AttemptResults {
public:
    AttemptResults(DispatchState& state, RequestTable& requests, Failover& failover,
                   RequestCompletion& completion, RequestChecks& checks)
        : state_(state), requests_(requests), failover_(failover), completion_(completion), checks_(checks) {}

    /// The response head: decides whether the answer is usable and whether it is relayed at once.
    void handle(const AttemptHead& head);
    /// The first event of a stream, which starts relaying it, or the first body byte of any other answer.
    void handle(const AttemptFirstByte& first);
    /// The attempt's end: a complete usable answer ends the request; otherwise the request fails over.
    void handle(const AttemptEnded& ended);

private:
    void conclude(Request& request, const AttemptEnded& ended);
    bool resumesAfter(Request& request, bool continuable);

    DispatchState& state_;
    RequestTable& requests_;
    Failover& failover_;
    RequestCompletion& completion_;
    RequestChecks& checks_;
};

}  // namespace beechpoint::dispatch
