/// What a host's answer says of the attempt: read from its head, or from the way the exchange failed. Pure functions.
#pragma once

#include "core/clock.hpp"
#include "dispatch/messages.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

/// Whether this status says of itself that the request has not run and never will (408, 421, 429, 503).
[[nodiscard]] bool promisesNotExecuted(int status);

/// Whether the host proved that the request has not run: status 421, or the header X-Not-Executed.
[[nodiscard]] bool notExecuted(const upstream::AnswerHead& head);

/// Whether the status is a 2xx.
[[nodiscard]] bool isSuccess(const upstream::AnswerHead& head);

/// Whether the answer is a success whose body is a stream of events (text/event-stream, without a coding).
[[nodiscard]] bool isEventStream(const upstream::AnswerHead& head);

/// The warm-up time that the host states as left (X-Warmup-Remaining, ms), up to an hour; 0 where it states none, or no finite
/// number, and in an answer 421, which another instance gives.
[[nodiscard]] Millis warmupLeft(const upstream::AnswerHead& head);

/// The outcome of an attempt whose answer came to its proper end.
[[nodiscard]] dispatch::Outcome outcomeOf(const upstream::AnswerHead& head);

/// The outcome of an attempt whose exchange failed.
[[nodiscard]] dispatch::Outcome outcomeOf(const upstream::Failure& failure);

}  // namespace beechpoint::gateway
