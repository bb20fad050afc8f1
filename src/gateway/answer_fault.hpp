/// Ways in which a host's answer is found not to be an answer, for the log and the metrics. Plain values and counters, written by
/// RequestExchange on its loop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "upstream/upstream.hpp"

namespace beechpoint::gateway {

enum class AnswerFault {
    resetBeforeAnswer,  ///< the connection ended before an answer
    brokenAnswer,       ///< the answer ended early, or its framing is malformed
    malformedAnswer,    ///< the bytes form no answer
    foreignAnswer,      ///< the answer carries the id of another request
    truncatedEvent,     ///< the answer came to its proper end inside an event
    closedStream,       ///< a stream ended with its connection, as that of a host which was killed does
    unsoundEvent,       ///< the stream holds what is no event of the run (upstream::EventFault)
};
inline constexpr std::size_t kAnswerFaultCount = static_cast<std::size_t>(AnswerFault::unsoundEvent) + 1;

/// Name in the metrics (label `reason`) and in the log.
[[nodiscard]] std::string_view nameOf(AnswerFault fault);

/// Nothing where the failure says nothing about the host's bytes (no connection, out of time, cancelled).
[[nodiscard]] std::optional<AnswerFault> faultOf(const upstream::Failure& failure);

/// Number of answers with each fault since the start.
class AnswerFaultCounts {
public:
    void add(AnswerFault fault) { ++counts_[static_cast<std::size_t>(fault)]; }
    [[nodiscard]] std::uint64_t of(AnswerFault fault) const {
        return counts_[static_cast<std::size_t>(fault)];
    }

private:
    std::array<std::uint64_t, kAnswerFaultCount> counts_{};
};

}  // namespace beechpoint::gateway
