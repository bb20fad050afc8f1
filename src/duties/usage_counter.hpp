/// Usage counts of one gateway: the number of requests of each tenant that started execution in each window. A window is kept until the
/// holder of the usage duty has recorded it.
///
/// Reports hold totals, so that a duplicate counts once. Counts that a holder has acknowledged are not sent to it again; a new holder
/// receives all counts that are not recorded yet. No I/O; not thread-safe.
///
///   bound                             | at the bound
///   kMaxWindows unrecorded windows    | the oldest is dropped, droppedWindows() counts it
///   kMaxTenants of a window           | requests of further tenants are not counted, uncountedRequests() counts them
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "duties/usage.hpp"

namespace beechpoint::duties {

class UsageCounter {
public:
    static constexpr std::size_t kMaxWindows = 12;
    static constexpr std::size_t kMaxTenants = 4096;

    /// @param windowLength in milliseconds, above 0
    explicit UsageCounter(Millis windowLength) : windowLength_(windowLength) {}

    /// Counts a request of the tenant that started execution at this true time.
    void add(const std::string& tenant, Millis unixTime);

    /// The totals that this holder has not acknowledged yet.
    /// @param holder identifies the holder and its term; if it differs from the last call's, all windows are returned
    [[nodiscard]] std::vector<WindowCounts> unreported(std::uint64_t holder);

    /// The holder has received the result of the last unreported(), and windows below `recordedBefore` are recorded permanently.
    void onAcknowledged(std::uint64_t holder, WindowNumber recordedBefore);

    [[nodiscard]] std::uint64_t droppedWindows() const { return droppedWindows_; }
    [[nodiscard]] std::uint64_t uncountedRequests() const { return uncountedRequests_; }

private:
    struct Count {
        std::uint64_t total = 0;
        std::uint64_t sent = 0;          // total when last returned by unreported()
        std::uint64_t acknowledged = 0;  // total acknowledged by the holder
    };
    using Window = std::map<std::string, Count>;  // by tenant

    void switchHolder(std::uint64_t holder);

    Millis windowLength_;
    std::map<WindowNumber, Window> windows_;
    WindowNumber recordedBefore_ = 0;
    std::uint64_t holder_ = 0;
    std::uint64_t droppedWindows_ = 0;
    std::uint64_t uncountedRequests_ = 0;
};

}  // namespace beechpoint::duties
