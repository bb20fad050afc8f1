/// Sends an attempt of a request to a host, within the rules and budgets that bound retries and hedged attempts.
#pragma once

#include <optional>
#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/hedge_budget.hpp"
#include "dispatch/reject_reason.hpp"

namespace beechpoint::dispatch {

/// Whether an attempt stands alone or beside another one in flight ("hedged request", The Tail at Scale, 2013).
enum class AttemptKind { ordinary, hedged };

/// Owns the gateway's budget of hedged attempts; the retry budgets are the services'.
class AttemptSender {
public:
    explicit AttemptSender(DispatchState& state);

    /// A client's request has come, which earns hedged attempts if it is idempotent.
    void requestArrived(const Request& request);
    /// The rule that forbids a further attempt of the request, budgets aside; nothing where it may be sent. Keeps the
    /// invariant that a request that is not idempotent has at most one attempt that may have run.
    [[nodiscard]] std::optional<RejectReason> forbidden(const Request& request) const;
    /// Sends it to the host (an index of the host table, one of `scores`). Nothing: it has been sent; else the rule or
    /// budget that stands against it, and nothing has changed.
    [[nodiscard]] std::optional<RejectReason> send(Request& request, int host,
                                                   const std::vector<coordinator::policy::Scored>& scores,
                                                   AttemptKind kind);

private:
    std::optional<RejectReason> spendBudgets(Request& request, ServiceState& service, AttemptKind kind);

    DispatchState& state_;
    HedgeBudget hedges_;
};

}  // namespace beechpoint::dispatch
