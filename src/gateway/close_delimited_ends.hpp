/// How many answers of hosts ended with their connection alone, by what they had brought: nothing in such an answer tells its end from
/// that of a host that was killed. Plain counters, written by RequestExchange on its loop.
#pragma once

#include <cstdint>

namespace beechpoint::gateway {

/// Answers since the start.
struct CloseDelimitedEnds {
    std::uint64_t eventlessStreams = 0;  ///< streams that ended before their first event
    std::uint64_t begunStreams = 0;      ///< streams that ended behind one or more events
    std::uint64_t otherAnswers = 0;
};

}  // namespace beechpoint::gateway
