/// Time: checks requests when they are due, and all that wait for a host when hosts have changed.
#pragma once

#include <vector>

#include "dispatch/dispatch_state.hpp"
#include "dispatch/failover.hpp"
#include "dispatch/initial_send.hpp"
#include "dispatch/overdue_attempts.hpp"
#include "dispatch/request_completion.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Keeps the invariant that each request in the table has a check scheduled, no later than its deadline.
class RequestChecks {
public:
    RequestChecks(DispatchState& state, RequestTable& requests, InitialSend& initialSend, Failover& failover,
                  OverdueAttempts& overdue, RequestCompletion& completion)
        : state_(state),
          requests_(requests),
          initialSend_(initialSend),
          failover_(failover),
          overdue_(overdue),
          completion_(completion) {}

    /// Checks those that are due now, the more urgent first.
    void checkDue();
    /// Checks those that wait for a host, the more urgent first.
    void checkPending();
    /// The request has changed: sets the time of its next check. Nothing where it has ended.
    void schedule(RequestId id);

private:
    void checkAll(const std::vector<RequestId>& ids);
    void check(Request& request);

    DispatchState& state_;
    RequestTable& requests_;
    InitialSend& initialSend_;
    Failover& failover_;
    OverdueAttempts& overdue_;
    RequestCompletion& completion_;
};

}  // namespace beechpoint::dispatch
