/// A gateway's own usage counts: how many requests of each tenant began to run in each window, until the holder of the usage duty has
/// recorded the window.
///
/// Reports hold totals, so that one sent twice counts once. A report that a holder has acknowledged is not sent to it again; a new holder
/// gets everything that is not recorded yet. Free of I/O; one thread uses it at a time.
///
///   bound                             | at the bound
///   kMaxWindows not recorded windows  | the oldest is dropped, droppedWindows() counts it
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

    /// A request of the tenant began to run at that true time.
    void add(const std::string& tenant, Millis unixTime);

    /// The totals that this holder does not have yet.
    /// @param holder identifies the holder and its term; another one than at the last call gets all windows
    [[nodiscard]] std::vector<WindowCounts> unreported(std::uint64_t holder);

    /// The holder has received what the last unreported() returned, and windows below `recordedBefore` are recorded for good.
    void onAcknowledged(std::uint64_t holder, WindowNumber recordedBefore);

    [[nodiscard]] std::uint64_t droppedWindows() const { return droppedWindows_; }
    [[nodiscard]] std::uint64_t uncountedRequests() const { return uncountedRequests_; }

private:
    struct Count {
        std::uint64_t total = 0;
        std::uint64_t sent = 0;          // total when it was last returned
        std::uint64_t acknowledged = 0;  // total that the holder has
    };
    using Window = std::map<std::string, Count>;  // by tenant

    void changeHolder(std::uint64_t holder);

    Millis windowLength_;
    std::map<WindowNumber, Window> windows_;
    WindowNumber recordedBefore_ = 0;
    std::uint64_t holder_ = 0;
    std::uint64_t droppedWindows_ = 0;
    std::uint64_t uncountedRequests_ = 0;
};

}  // namespace beechpoint::duties
