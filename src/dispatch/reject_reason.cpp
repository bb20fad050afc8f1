#include "dispatch/reject_reason.hpp"

namespace beechpoint::dispatch {

std::string_view nameOf(RejectReason reason) {
    switch (reason) {
        case RejectReason::noService:
            return "no_service";
        case RejectReason::deadlinePassed:
            return "deadline_passed";
        case RejectReason::requestLimit:
            return "request_limit";
        case RejectReason::admission:
            return "admission";
        case RejectReason::noHostAvailable:
            return "no_host_available";
        case RejectReason::attemptLimit:
            return "attempt_limit";
        case RejectReason::connectLimit:
            return "connect_limit";
        case RejectReason::mayRunTwice:
            return "may_run_twice";
        case RejectReason::hedgeBudget:
            return "hedge_budget";
        case RejectReason::retryBudget:
            return "retry_budget";
        case RejectReason::shutDown:
            break;
    }
    return "shut_down";
}

}  // namespace beechpoint::dispatch
