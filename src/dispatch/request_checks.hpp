/// Checks requests when their check is due, and all pending requests when the hosts have changed.
#pragma once

#include <vector>

#include "dispatch/dispatch_state.hpp"
#include "dispatch/failover.hpp"
#include "dispatch/initial_send.hpp"
#include "dispatch/overdue_attempts.hpp"
#include "dispatch/request_completion.hpp"
#include "dispatch/request_table.hpp"

namespace beechpoint::dispatch {

/// Invariant: each request in the table has a check scheduled no later than its deadline.
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

    /// Checks the requests that are due, most urgent first.
    void checkDue();
    /// Checks the pending requests, most urgent first.
    void checkPending();
    /// Schedules the next check of a request that has changed. No effect if it has ended.
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
