/// How many requests the gateway itself ended, by the dispatcher's reason. Plain counters, written by RequestExchange on its loop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "dispatch/reject_reason.hpp"

namespace beechpoint::gateway {

using CountsByReason = std::array<std::uint64_t, dispatch::kRejectReasons>;

struct RequestEndCounts {
    CountsByReason rejected{};  ///< 503: not run
    CountsByReason failed{};    ///< 502 and 504: may have run
    CountsByReason aborted{};   ///< answers that had begun and were broken off

    static void add(CountsByReason& counts, dispatch::RejectReason reason) {
        ++counts[static_cast<std::size_t>(reason)];
    }
};

}  // namespace beechpoint::gateway
