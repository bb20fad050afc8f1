/// The usage of all gateways as the holder of the usage duty knows it, and which window may be reported next.
///
/// Counts are kept by gateway, session and window, so that a report that comes twice counts once and both lives of a restarted gateway
/// count. A holder begins with nothing: gateways send it all that is not recorded. Free of I/O; one thread uses it at a time.
///
///   a window may be reported | when it is over for kMinGatherTime and each live gateway's counts cover it, or both its end and
///                            | the holder's term lie maxGatherTime back
///   the next window          | the one after the newest recorded; the first with a count, where none is recorded; never one that some
///                            | session may have dropped
///
///   bound                         | at the bound
///   kMaxSessions gateway sessions | reports of further ones are refused
///   kMaxWindows of a session      | counts of older windows are dropped
///   kMaxTenants of a window       | counts of further tenants are dropped
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "duties/usage.hpp"

namespace beechpoint::duties {

class UsageCollector {
public:
    static constexpr Millis kMinGatherTime = 800;  ///< from a window's end
    static constexpr std::size_t kMaxSessions = 2048;
    static constexpr std::size_t kMaxWindows = 6;
    static constexpr std::size_t kMaxTenants = 4096;

    /// @param windowLength in milliseconds, above 0
    /// @param maxGatherTime in milliseconds from a window's end, where live gateways have not reported
    UsageCollector(Millis windowLength, Millis maxGatherTime)
        : windowLength_(windowLength), maxGatherTime_(maxGatherTime) {}

    /// False: no room for another session.
    /// @param isCurrentTerm what the report leaves out is known here; else it covers no window
    [[nodiscard]] bool add(const UsageReport& report, bool isCurrentTerm = true);

    /// Another term begins: each gateway reports once more all that is not recorded. Counts are kept.
    void resetCoverage();

    /// This process does not hold the duty: forgets everything.
    void clear() { sessions_.clear(); }

    /// The totals of the window that is to be reported next; nothing: not yet.
    /// @param newestRecorded the newest window that has an intent in the replicated table
    /// @param unixTime true time in milliseconds
    /// @param collectedFor milliseconds since gateways have been told of this holder
    /// @param liveGateways (name, session) of those that hold a lease
    [[nodiscard]] std::optional<WindowCounts> nextWindow(
        std::optional<WindowNumber> newestRecorded, Millis unixTime, Millis collectedFor,
        const std::vector<std::pair<std::string, std::uint64_t>>& liveGateways) const;

    /// Forgets windows that are recorded.
    void dropBefore(WindowNumber window);

private:
    using SessionKey = std::pair<std::string, std::uint64_t>;  // gateway, session
    struct Session {
        Millis coveredUntil = 0;
        std::map<WindowNumber, TenantCounts> windows;
    };

    [[nodiscard]] std::optional<WindowNumber> firstCounted() const;
    [[nodiscard]] bool covered(WindowNumber window, const std::vector<SessionKey>& liveGateways) const;
    [[nodiscard]] TenantCounts totalOf(WindowNumber window) const;

    Millis windowLength_;
    Millis maxGatherTime_;
    std::map<SessionKey, Session> sessions_;
};

}  // namespace beechpoint::duties
