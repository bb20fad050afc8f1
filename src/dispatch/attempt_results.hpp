/// What comes back of attempts, and what it means for their requests: relayed, retried, resumed or given up.
#pragma once

#include "dispatch/dispatch_state.hpp"
#include "dispatch/failover.hpp"
#include "dispatch/request_checks.hpp"
#include "dispatch/request_completion.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Events about attempts or requests that are over are normal: they only teach (see AttemptLog).
class AttemptResults {
public:
    AttemptResults(DispatchState& state, RequestTable& requests, Failover& failover,
                   RequestCompletion& completion, RequestChecks& checks)
        : state_(state), requests_(requests), failover_(failover), completion_(completion), checks_(checks) {}

    /// The answer's head: decides whether the answer is usable, and whether it is relayed at once.
    void handle(const AttemptHead& head);
    /// The first event of a stream, which is relayed from here on; or the first byte of another answer's body.
    void handle(const AttemptFirstByte& first);
    /// The end: a complete proper answer ends the request; else it fails over.
    void handle(const AttemptEnded& ended);

private:
    void conclude(Request& request, const AttemptEnded& ended);
    bool resumesAfter(Request& request);

    DispatchState& state_;
    RequestTable& requests_;
    Failover& failover_;
    RequestCompletion& completion_;
    RequestChecks& checks_;
};

}  // namespace beechpoint::dispatch
