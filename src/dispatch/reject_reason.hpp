/// Why the dispatcher gave a request up: the one place that answers "why was this request rejected?".
#pragma once

#include <cstddef>
#include <string_view>

namespace beechpoint::dispatch {

/// Each reason, the rule that led to it, the figure behind the rule and where that figure comes from. A request that has
/// not run is answered 503 (Reject). The same reason ends one that may have run with 502 (Fail), and one whose answer has
/// begun with a broken-off answer (AbortResponse): see RequestCompletion::giveUp(). All three name it, and the gateway counts
/// and logs it.
///
/// | reason          | rule                                                | figure, from                                     |
/// | --------------- | --------------------------------------------------- | ------------------------------------------------ |
/// | noService       | the route's split draws no service                  | weights: RequestArrived::services (route)        |
/// | deadlinePassed  | nothing of the deadline is left                     | RequestArrived::deadline (client and route);     |
/// |                 |                                                     | 504 where an attempt is in flight                |
/// | requestLimit    | requests >= limit                                   | Settings::maxRequests; logged "request limit     |
/// |                 |                                                     | reached"                                         |
/// | admission       | expected wait > tolerated wait, and utilization     | AdmissionForecast; kToleratedTargets and others  |
/// |                 | >= 0.6 (admission.cpp)                              | in admission.cpp; logged "rejected by admission" |
/// | noHostAvailable | pending for longer than maxPendingTime()            | latency target, time left; admission.cpp         |
/// | attemptLimit    | hosts it was sent to >= limit                       | RequestArrived::maxAttempts (route)              |
/// | connectLimit    | attempts >= maxAttempts + kMaxFailedConnects        | attempt_sender.cpp                               |
/// | mayRunTwice     | not idempotent, and an attempt may have run; or a   | Request::mayHaveRun(), Request::resumable();     |
/// |                 | begun answer that cannot be resumed                 | never in a Reject: ends in 502 or AbortResponse  |
/// | hedgeBudget     | hedged attempts of late + 1 > 0.1 x idempotent      | HedgeBudget; never in a Reject: the ordinary     |
/// |                 | requests of late                                    | attempt goes on                                  |
/// | retryBudget     | retries of late + 1 > this gateway's part of the    | RetryBudget; Settings::retryBudgetRatio,         |
/// |                 | service's budget                                    | retryBudgetSlack, retryWindow; logged "retry     |
/// |                 |                                                     | budget spent"                                    |
/// | shutDown        | the process ends                                    | event ShutDown                                   |
enum class RejectReason {
    noService,
    deadlinePassed,
    requestLimit,
    admission,
    noHostAvailable,
    attemptLimit,
    connectLimit,
    mayRunTwice,
    hedgeBudget,
    retryBudget,
    shutDown,
};

inline constexpr std::size_t kRejectReasonCount = static_cast<std::size_t>(RejectReason::shutDown) + 1;

/// In words of letters and underscores, for logs and metrics.
[[nodiscard]] std::string_view nameOf(RejectReason reason);

}  // namespace beechpoint::dispatch
