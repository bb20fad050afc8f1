/// Collects the usage counts of all gateways at the holder of the usage duty, and selects the window to report next.
///
/// Counts are kept by gateway, session and window, so that a duplicate report counts once and both sessions of a restarted gateway count.
/// A new holder starts empty: gateways send it all counts that are not recorded yet. No I/O; not thread-safe.
///
///   a window may be reported | once it ended kMinGatherTime ago and each live gateway's counts cover it, or once both its end and
///                            | the start of the holder's term are maxGatherTime ago
///   the next window          | the one after the newest recorded; if none is recorded, the first with a count; never one that a session
///                            | may have dropped
///
///   bound                         | at the bound
///   kMaxSessions gateway sessions | reports of further sessions are rejected
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
    static constexpr Millis kMinGatherTime = 800;  ///< minimum time after a window's end
    static constexpr std::size_t kMaxSessions = 2048;
    static constexpr std::size_t kMaxWindows = 6;
    static constexpr std::size_t kMaxTenants = 4096;

    /// @param windowLength in milliseconds, above 0
    /// @param maxGatherTime in milliseconds after a window's end, if live gateways have not reported
    UsageCollector(Millis windowLength, Millis maxGatherTime)
        : windowLength_(windowLength), maxGatherTime_(maxGatherTime) {}

    /// Returns false if there is no room for another session.
    /// @param isCurrentTerm this holder already has the counts that the report omits; otherwise the report covers no window
    [[nodiscard]] bool add(const UsageReport& report, bool isCurrentTerm = true);

    /// Starts a new term, in which each gateway reports again all counts that are not recorded. Keeps the counts.
    void resetCoverage();

    /// Discards all sessions; called when this process does not hold the duty.
    void clear() { sessions_.clear(); }

    /// The totals of the next window to report; empty: none is ready.
    /// @param newestRecorded the newest window that has an intent in the replicated table
    /// @param unixTime true time in milliseconds
    /// @param collectedFor milliseconds since gateways have been informed of this holder
    /// @param liveGateways (name, session) of the gateways that hold a lease
    [[nodiscard]] std::optional<WindowCounts> nextWindow(
        std::optional<WindowNumber> newestRecorded, Millis unixTime, Millis collectedFor,
        const std::vector<std::pair<std::string, std::uint64_t>>& liveGateways) const;

    /// Discards windows below `window`, which are recorded.
    void dropBefore(WindowNumber window);

private:
    using SessionKey = std::pair<std::string, std::uint64_t>;  // gateway, session
    struct Session {
        Millis coveredUntil = 0;
        std::map<WindowNumber, TenantCounts> windows;
    };

    [[nodiscard]] std::optional<WindowNumber> firstCountedWindow() const;
    [[nodiscard]] bool isCovered(WindowNumber window, const std::vector<SessionKey>& liveGateways) const;
    [[nodiscard]] TenantCounts totalOf(WindowNumber window) const;

    Millis windowLength_;
    Millis maxGatherTime_;
    std::map<SessionKey, Session> sessions_;
};

}  // namespace beechpoint::duties
