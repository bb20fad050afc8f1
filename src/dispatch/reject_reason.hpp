/// The reasons for which the dispatcher rejects, fails or aborts a request.
#pragma once

#include <cstddef>
#include <string_view>

namespace beechpoint::dispatch {

/// The table lists each reason with its rule and the source of the compared values. A request that has not
/// run is answered with 503 (Reject); one that may have run with 502 (Fail); one whose answer has begun is
/// truncated (AbortResponse): see RequestCompletion::giveUp(). All three carry the reason, and the gateway
/// counts and logs it.
///
/// | reason          | rule                                                | source of the values                             |
/// | --------------- | --------------------------------------------------- | ------------------------------------------------ |
/// | noService       | the route's split draws no service                  | weights: RequestArrived::services (route)        |
/// | deadlinePassed  | no time left before the deadline                    | RequestArrived::deadline (client and route);     |
/// |                 |                                                     | 504 if an attempt may have run                   |
/// | requestLimit    | requests >= limit                                   | Settings::maxRequests; logged "request limit     |
/// |                 |                                                     | reached"                                         |
/// | admission       | expected wait > tolerated wait, and utilization     | AdmissionForecast; kToleratedTargets and others  |
/// |                 | >= 0.6 (admission.cpp)                              | in admission.cpp; logged "rejected by admission" |
/// | noHostAvailable | pending for longer than maxPendingTime()            | latency target, time left; admission.cpp         |
/// | attemptLimit    | hosts used >= limit                                 | RequestArrived::maxAttempts (route)              |
/// | connectLimit    | attempts >= maxAttempts + kMaxFailedConnects        | attempt_sender.cpp                               |
/// | mayRunTwice     | not idempotent, and an attempt may have run; or a   | Request::mayHaveRun(), Request::resumable();     |
/// |                 | relayed answer ended early and is not resumable     | never in a Reject: ends in 502 or AbortResponse  |
/// | hedgeBudget     | recent hedged attempts + 1 > 0.1 x recent           | HedgeBudget; never in a Reject: the ordinary     |
/// |                 | idempotent requests                                 | attempt continues                                 |
/// | retryBudget     | recent retries + 1 > this gateway's share of the    | RetryBudget; Settings::retryBudgetRatio,         |
/// |                 | service's budget                                    | retryBudgetSlack, retryWindow; logged "retry     |
/// |                 |                                                     | budget spent"                                    |
/// | shutDown        | the process shuts down                              | event ShutDown                                   |
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

/// The reason's name in logs and metrics: letters and underscores.
[[nodiscard]] std::string_view nameOf(RejectReason reason);

}  // namespace beechpoint::dispatch
