#include "soak_history.hpp"

#include <algorithm>

namespace beechpoint::system_test {

void KeyHistory::begin(const std::string& key, const std::string& tenant, Millis at) {
    holdings_[key].push_back({tenant, {at, kNever}});
}

void KeyHistory::acknowledge(const std::string& key, Millis at) {
    std::vector<Holding>& holdings = holdings_[key];
    for (std::size_t place = 0; place + 1 < holdings.size(); ++place)
        holdings[place].period.to = std::min(holdings[place].period.to, at);
}

bool KeyHistory::held(const std::string& key, const std::string& tenant, const Period& period) const {
    const auto found = holdings_.find(key);
    if (found == holdings_.end()) return tenant.empty();
    if (tenant.empty() && period.from < found->second.front().period.from) return true;
    return std::ranges::any_of(found->second, [&](const Holding& holding) {
        return holding.tenant == tenant && holding.period.overlaps(period.from, period.to);
    });
}

void DisruptionHistory::begin(const std::string& process, Disruption kind, Millis at) {
    entries_[process].push_back({kind, {at, kNever}});
}

void DisruptionHistory::end(const std::string& process, Millis at) {
    for (Entry& entry : entries_[process]) entry.period.to = std::min(entry.period.to, at);
}

bool DisruptionHistory::any(const std::string& process, const Period& period) const {
    const auto found = entries_.find(process);
    return found != entries_.end() && std::ranges::any_of(found->second, [&](const Entry& entry) {
               return entry.period.overlaps(period.from, period.to);
           });
}

bool DisruptionHistory::any(const std::string& process, Disruption kind, const Period& period) const {
    const auto found = entries_.find(process);
    return found != entries_.end() && std::ranges::any_of(found->second, [&](const Entry& entry) {
               return entry.kind == kind && entry.period.overlaps(period.from, period.to);
           });
}

std::size_t DisruptionHistory::count(const std::string& prefix, const Period& period) const {
    return static_cast<std::size_t>(std::ranges::count_if(entries_, [&](const auto& entry) {
        return entry.first.starts_with(prefix) && any(entry.first, period);
    }));
}

}  // namespace beechpoint::system_test
