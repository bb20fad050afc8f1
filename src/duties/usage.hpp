/// Values of usage reporting. Window k begins, in true time, k times the window's length after the start of 1970.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::duties {

using WindowNumber = std::uint64_t;

/// Requests that began to run, by tenant.
using TenantCounts = std::map<std::string, std::uint64_t>;

/// What one process counted in one window so far.
struct WindowCounts {
    WindowNumber window = 0;
    TenantCounts counts;
    bool operator==(const WindowCounts&) const = default;
};

/// What a gateway tells the holder of the usage duty.
struct UsageReport {
    std::string gateway;
    std::uint64_t session = 0;  ///< drawn at each start of its process
    Millis coveredUntil = 0;    ///< true time up to which the counts are complete
    std::vector<WindowCounts>
        windows;  ///< totals, not increments; those that have not changed may be left out
};

/// @param unixTime milliseconds since 1970; @param length of a window in milliseconds
[[nodiscard]] inline WindowNumber windowAt(Millis unixTime, Millis length) {
    return unixTime <= 0 ? 0 : static_cast<WindowNumber>(unixTime / length);
}
[[nodiscard]] inline Millis windowEnd(WindowNumber window, Millis length) {
    return static_cast<Millis>(window + 1) * length;
}

}  // namespace beechpoint::duties
