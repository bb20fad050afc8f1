#include "scale/progress.hpp"

#include <algorithm>

namespace beechpoint::scale {
namespace {

Millis quantile(const std::vector<Millis>& sorted, double share) {
    if (sorted.empty()) return 0;
    const auto place = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(place, sorted.size() - 1)];
}

}  // namespace

Delays summarise(std::vector<Millis> delays, std::size_t missing) {
    std::sort(delays.begin(), delays.end());
    Delays out;
    out.count = delays.size();
    out.missing = missing;
    out.p50 = quantile(delays, 0.5);
    out.p99 = quantile(delays, 0.99);
    out.worst = delays.empty() ? 0 : delays.back();
    return out;
}

void Series::reach(std::size_t gateway, std::size_t number, Millis now) {
    if (number <= reached_[gateway]) return;
    at_[gateway].resize(number, now);
    reached_[gateway] = number;
}

std::size_t Series::gatewaysAt(std::size_t number) const {
    const auto there = [number](std::size_t reached) { return reached >= number; };
    return static_cast<std::size_t>(std::count_if(reached_.begin(), reached_.end(), there));
}

Delays Series::delays(std::size_t first, const std::vector<Millis>& begun) const {
    std::vector<Millis> delays;
    std::size_t missing = 0;
    for (std::size_t change = 0; change < begun.size(); change++) {
        const std::size_t number = first + change;
        for (std::size_t gateway = 0; gateway < at_.size(); gateway++) {
            if (reached_[gateway] < number)
                missing++;
            else
                delays.push_back(std::max(0.0, at_[gateway][number - 1] - begun[change]));
        }
    }
    return summarise(std::move(delays), missing);
}

void Progress::onReply(std::size_t gateway, std::uint32_t liveGateways) {
    replies_++;
    if (liveGateways > 0) live_[gateway] = liveGateways;
}

void Progress::onHosts(std::size_t gateway, std::size_t hosts, std::size_t draining, Millis now) {
    hosts_[gateway] = hosts;
    hostChanges_.reach(gateway, draining, now);
}

std::size_t Progress::gatewaysWithHosts(std::size_t hosts) const {
    return static_cast<std::size_t>(std::count(hosts_.begin(), hosts_.end(), hosts));
}

std::size_t Progress::gatewaysThatCount(std::uint32_t live) const {
    return static_cast<std::size_t>(std::count(live_.begin(), live_.end(), live));
}

}  // namespace beechpoint::scale
