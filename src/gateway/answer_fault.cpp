#include "gateway/answer_fault.hpp"

namespace beechpoint::gateway {

std::string_view nameOf(AnswerFault fault) {
    switch (fault) {
        case AnswerFault::resetBeforeAnswer:
            return "reset_before_answer";
        case AnswerFault::brokenAnswer:
            return "broken_answer";
        case AnswerFault::malformedAnswer:
            return "malformed_answer";
        case AnswerFault::foreignAnswer:
            return "foreign_answer";
        case AnswerFault::truncatedEvent:
            return "truncated_event";
        case AnswerFault::closedStream:
            return "closed_stream";
        case AnswerFault::unsoundEvent:
            return "unsound_event";
    }
    return "unknown";
}

std::optional<AnswerFault> faultOf(const upstream::Failure& failure) {
    using upstream::FailureKind;
    switch (failure.kind) {
        case FailureKind::resetBeforeAnswer:
            return AnswerFault::resetBeforeAnswer;
        case FailureKind::brokenAnswer:
            return AnswerFault::brokenAnswer;
        case FailureKind::malformedAnswer:
            return AnswerFault::malformedAnswer;
        case FailureKind::foreignAnswer:
            return AnswerFault::foreignAnswer;
        case FailureKind::noCapacity:
        case FailureKind::notConnected:
        case FailureKind::timedOut:
        case FailureKind::cancelled:
            break;
    }
    return std::nullopt;
}

}  // namespace beechpoint::gateway
