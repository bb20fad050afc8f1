#include "duties/true_time.hpp"

#include <algorithm>
#include <vector>

namespace beechpoint::duties {

void TrueTime::report(Millis now, const std::string& machine, Millis unixTime) {
    std::erase_if(offsets_, [now](const auto& entry) { return now - entry.second.at > kReportExpiry; });
    if (offsets_.size() >= kMaxReporters && !offsets_.contains(machine)) return;
    offsets_[machine] = {unixTime - now, now};
}

Millis TrueTime::estimate(Millis now, Millis own) const {
    std::vector<Millis> offsets{own - now};
    for (const auto& [machine, report] : offsets_)
        if (now - report.at <= kReportExpiry) offsets.push_back(report.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return now + *middle;
}

bool TrueTime::isConfirmed(Millis now, std::size_t machines) const {
    const auto fresh = std::ranges::count_if(
        offsets_, [now](const auto& entry) { return now - entry.second.at <= kReportExpiry; });
    const double needed = std::max(1.0, kMinReportingShare * static_cast<double>(machines));
    return static_cast<double>(fresh) >= needed;
}

}  // namespace beechpoint::duties
