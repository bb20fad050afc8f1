/// Sends attempts to hosts, within the rules and budgets that limit retries and hedged attempts.
#pragma once

#include <optional>
#include <vector>

#include "coordinator/score.hpp"
#include "dispatch/dispatch_state.hpp"
#include "dispatch/hedge_budget.hpp"
#include "dispatch/reject_reason.hpp"

namespace beechpoint::dispatch {

/// hedged: sent while another attempt of the request is in flight (Dean and Barroso, "The Tail at Scale",
/// 2013).
enum class AttemptKind { ordinary, hedged };

/// Owns the gateway's hedge budget; each service has its own retry budget.
class AttemptSender {
public:
    explicit AttemptSender(DispatchState& state);

    /// A client's request arrived; adds to the retry budget and, if it is idempotent, to the hedge budget.
    void requestArrived(const Request& request);
    /// The rule, other than a budget, that forbids another attempt; nullopt: it may be sent. Ensures that at
    /// most one attempt of a non-idempotent request may have run.
    [[nodiscard]] std::optional<RejectReason> forbidden(const Request& request) const;
    /// Sends an attempt to the host (an index in the host table, one of `scores`). nullopt: sent; otherwise
    /// the rule or budget that forbids it, and nothing has changed.
    [[nodiscard]] std::optional<RejectReason> send(Request& request, int host,
                                                   const std::vector<coordinator::policy::Scored>& scores,
                                                   AttemptKind kind);

private:
    std::optional<RejectReason> spendBudgets(Request& request, ServiceState& service, AttemptKind kind);

    DispatchState& state_;
    HedgeBudget hedges_;
};

}  // namespace beechpoint::dispatch
