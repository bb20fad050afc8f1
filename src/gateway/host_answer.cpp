#include "gateway/host_answer.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

#include "net/framing.hpp"

namespace beechpoint::gateway {

using dispatch::Outcome;

namespace {

constexpr int kFirstSuccess = 200, kFirstRedirect = 300;
constexpr Millis kMaxWarmup = 3'600'000;
constexpr int kMisdirectedRequest = 421;  // RFC 9110, 15.5.20: another host than X-Target-Instance names

}  // namespace

bool promisesNotExecuted(int status) {
    return status == 408 || status == kMisdirectedRequest || status == 429 || status == 503;
}

bool notExecuted(const upstream::AnswerHead& head) {
    return head.status == kMisdirectedRequest || upstream::findHeader(head.headers, "X-Not-Executed");
}

bool isSuccess(const upstream::AnswerHead& head) {
    return head.status >= kFirstSuccess && head.status < kFirstRedirect;
}

bool isEventStream(const upstream::AnswerHead& head) {
    constexpr std::string_view kEventStream = "text/event-stream";
    const std::string* const type = upstream::findHeader(head.headers, "Content-Type");
    if (!type || !isSuccess(head) || upstream::findHeader(head.headers, "Content-Encoding")) return false;
    const std::string_view essence = std::string_view(*type).substr(0, type->find_first_of("; \t"));
    return net::sameName(essence, kEventStream);
}

Millis warmupLeft(const upstream::AnswerHead& head) {
    const std::string* const text = upstream::findHeader(head.headers, "X-Warmup-Remaining");
    if (!text || head.status == kMisdirectedRequest) return 0;
    const char* const end = text->data() + text->size();
    double left = 0;
    const auto parsed = std::from_chars(text->data(), end, left);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(left)) return 0;
    return std::clamp(left, 0.0, kMaxWarmup);
}

Outcome outcomeOf(const upstream::AnswerHead& head) {
    if (head.status == kMisdirectedRequest) return Outcome::misdirected;
    if (notExecuted(head)) return Outcome::rejected;
    // Without X-Not-Executed such a status is no promise: the host may have run the request.
    const bool failed = head.status >= 500 || promisesNotExecuted(head.status);
    return failed ? Outcome::hostError : Outcome::served;
}

Outcome outcomeOf(const upstream::Failure& failure) {
    using upstream::FailureKind;
    switch (failure.kind) {
        case FailureKind::noCapacity:
            return Outcome::noCapacity;
        case FailureKind::notConnected:
            return Outcome::notConnected;
        case FailureKind::resetBeforeAnswer:
            return failure.sent ? Outcome::resetBeforeAnswer : Outcome::notConnected;
        case FailureKind::brokenAnswer:
            return Outcome::incomplete;
        case FailureKind::malformedAnswer:
            return Outcome::malformed;
        case FailureKind::foreignAnswer:
            return Outcome::attemptIdMismatch;
        case FailureKind::timedOut:
            return failure.sent ? Outcome::timedOut : Outcome::notConnected;
        case FailureKind::cancelled:
            break;
    }
    return Outcome::cancelled;
}

}  // namespace beechpoint::gateway
