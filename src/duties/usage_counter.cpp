#include "duties/usage_counter.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::duties {

void UsageCounter::add(const std::string& tenant, Millis unixTime) {
    const WindowNumber number = windowAt(unixTime, windowLength_);
    if (number < recordedBefore_) {
        ++uncountedRequests_;
        return;
    }
    Window& window = windows_[number];
    if (window.size() >= kMaxTenants && !window.contains(tenant)) {
        ++uncountedRequests_;
        return;
    }
    ++window[tenant].total;
    if (windows_.size() > kMaxWindows) {
        windows_.erase(windows_.begin());
        ++droppedWindows_;
    }
}

std::vector<WindowCounts> UsageCounter::unreported(std::uint64_t holder) {
    switchHolder(holder);
    std::vector<WindowCounts> report;
    for (auto& [number, window] : windows_) {
        WindowCounts changed{number, {}};
        for (auto& [tenant, count] : window) {
            count.sent = count.total;
            if (count.acknowledged < count.total) changed.counts[tenant] = count.total;
        }
        if (!changed.counts.empty()) report.push_back(std::move(changed));
    }
    return report;
}

void UsageCounter::onAcknowledged(std::uint64_t holder, WindowNumber recordedBefore) {
    if (holder == holder_)
        for (auto& [number, window] : windows_)
            for (auto& [tenant, count] : window) count.acknowledged = count.sent;
    recordedBefore_ = std::max(recordedBefore_, recordedBefore);
    windows_.erase(windows_.begin(), windows_.lower_bound(recordedBefore_));
}

void UsageCounter::switchHolder(std::uint64_t holder) {
    if (holder == holder_) return;
    holder_ = holder;
    for (auto& [number, window] : windows_)
        for (auto& [tenant, count] : window) count.acknowledged = 0;
}

}  // namespace beechpoint::duties
