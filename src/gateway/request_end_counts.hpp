/// How many requests the gateway itself ended, by the dispatcher's reason. Plain counters, written by RequestExchange on its loop.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "dispatch/reject_reason.hpp"
#include "tenants/authentication.hpp"

namespace beechpoint::gateway {

using CountsByReason = std::array<std::uint64_t, dispatch::kRejectReasonCount>;

struct RequestEndCounts {
    CountsByReason rejected{};  ///< 503: not run
    CountsByReason failed{};    ///< 502 and 504: may have run
    CountsByReason aborted{};   ///< answers that had begun and were broken off

    static void add(CountsByReason& counts, dispatch::RejectReason reason) {
        ++counts[static_cast<std::size_t>(reason)];
    }
};

/// Requests by what became of their key, and those that got no further than the search for a route.
struct AccessCounts {
    std::array<std::uint64_t, tenants::kAuthenticationOutcomeCount> authentications{};
    std::uint64_t routeNotFound = 0;  ///< 404

    void add(tenants::AuthenticationOutcome outcome) { ++authentications[static_cast<std::size_t>(outcome)]; }
    [[nodiscard]] std::uint64_t of(tenants::AuthenticationOutcome outcome) const {
        return authentications[static_cast<std::size_t>(outcome)];
    }
};

}  // namespace beechpoint::gateway
