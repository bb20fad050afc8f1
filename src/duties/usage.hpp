/// Value types of usage reporting. Window k begins, in true time, k window lengths after the start of 1970.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::duties {

using WindowNumber = std::uint64_t;

/// Number of requests that started execution, by tenant.
using TenantCounts = std::map<std::string, std::uint64_t>;

/// Counts of one window so far, of one process or summed over all.
struct WindowCounts {
    WindowNumber window = 0;
    TenantCounts counts;
    bool operator==(const WindowCounts&) const = default;
};

/// A gateway's report to the holder of the usage duty.
struct UsageReport {
    std::string gateway;
    std::uint64_t session = 0;          ///< random, new at each start of the process
    Millis coveredUntil = 0;            ///< true time up to which the counts are complete
    std::vector<WindowCounts> windows;  ///< totals, not increments; unchanged ones may be omitted
};

/// @param unixTime milliseconds since 1970; @param length of a window in milliseconds
[[nodiscard]] inline WindowNumber windowAt(Millis unixTime, Millis length) {
    return unixTime <= 0 ? 0 : static_cast<WindowNumber>(unixTime / length);
}
[[nodiscard]] inline Millis windowEnd(WindowNumber window, Millis length) {
    return static_cast<Millis>(window + 1) * length;
}

}  // namespace beechpoint::duties
