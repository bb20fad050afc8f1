#include "duties/usage_collector.hpp"

#include <algorithm>

namespace beechpoint::duties {

bool UsageCollector::add(const UsageReport& report, bool isCurrentTerm) {
    const SessionKey key{report.gateway, report.session};
    if (sessions_.size() >= kMaxSessions && !sessions_.contains(key)) return false;
    Session& session = sessions_[key];
    if (isCurrentTerm) session.coveredUntil = std::max(session.coveredUntil, report.coveredUntil);
    for (const WindowCounts& window : report.windows) {
        TenantCounts& counts = session.windows[window.window];
        for (const auto& [tenant, count] : window.counts) {
            if (counts.size() >= kMaxTenants && !counts.contains(tenant)) continue;
            // Reports may arrive out of order: a total never decreases.
            counts[tenant] = std::max(counts[tenant], count);
        }
    }
    while (session.windows.size() > kMaxWindows) session.windows.erase(session.windows.begin());
    return true;
}

void UsageCollector::resetCoverage() {
    for (auto& [key, session] : sessions_) session.coveredUntil = 0;
}

std::optional<WindowCounts> UsageCollector::nextWindow(std::optional<WindowNumber> newestRecorded,
                                                       Millis unixTime, Millis collectedFor,
                                                       const std::vector<SessionKey>& liveGateways) const {
    std::optional<WindowNumber> window = firstCountedWindow();
    if (newestRecorded) window = *newestRecorded + 1;
    if (!window) return std::nullopt;
    const WindowNumber current = windowAt(unixTime, windowLength_);
    // A session may already have dropped older windows; one gateway may be a window ahead.
    constexpr WindowNumber kRetainedBeforeCurrent = kMaxWindows - 2;
    if (current > kRetainedBeforeCurrent) window = std::max(*window, current - kRetainedBeforeCurrent);
    const Millis sinceEnd = unixTime - windowEnd(*window, windowLength_);
    if (sinceEnd < kMinGatherTime) return std::nullopt;
    const bool canWaitForCoverage = std::min(sinceEnd, collectedFor) < maxGatherTime_;
    if (canWaitForCoverage && !isCovered(*window, liveGateways)) return std::nullopt;
    return WindowCounts{*window, totalOf(*window)};
}

void UsageCollector::dropBefore(WindowNumber window) {
    for (auto entry = sessions_.begin(); entry != sessions_.end();) {
        Session& session = entry->second;
        session.windows.erase(session.windows.begin(), session.windows.lower_bound(window));
        const bool isOver = session.windows.empty() && windowAt(session.coveredUntil, windowLength_) < window;
        entry = isOver ? sessions_.erase(entry) : std::next(entry);
    }
}

std::optional<WindowNumber> UsageCollector::firstCountedWindow() const {
    std::optional<WindowNumber> first;
    for (const auto& entry : sessions_) {
        const auto& windows = entry.second.windows;
        if (windows.empty()) continue;
        const WindowNumber oldest = windows.begin()->first;
        if (!first || oldest < *first) first = oldest;
    }
    return first;
}

bool UsageCollector::isCovered(WindowNumber window, const std::vector<SessionKey>& liveGateways) const {
    const Millis end = windowEnd(window, windowLength_);
    return std::all_of(liveGateways.begin(), liveGateways.end(), [&](const SessionKey& gateway) {
        const auto session = sessions_.find(gateway);
        return session != sessions_.end() && session->second.coveredUntil >= end;
    });
}

TenantCounts UsageCollector::totalOf(WindowNumber window) const {
    TenantCounts total;
    for (const auto& [key, session] : sessions_) {
        const auto counts = session.windows.find(window);
        if (counts == session.windows.end()) continue;
        for (const auto& [tenant, count] : counts->second) total[tenant] += count;
    }
    return total;
}

}  // namespace beechpoint::duties
