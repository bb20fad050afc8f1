#include "health_check/host_prober.hpp"

#include <algorithm>

namespace beechpoint::health_check {

HostProber::Host& HostProber::findOrCreate(Millis now, const std::string& host) {
    if (const auto found = hosts_.find(host); found != hosts_.end()) return found->second;
    if (hosts_.size() >= kMaxHosts) {
        hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(), [](auto& a, auto& b) {
            return a.second.lastWantedAt < b.second.lastWantedAt;
        }));
        ++evicted_;
    }
    Host& fresh = hosts_[host];
    fresh.lastWantedAt = now;
    return fresh;
}

Advice HostProber::probeWanted(Millis now, const std::string& host, const std::string& holder,
                               std::vector<Message>& out) {
    if (host.size() > kMaxHostIdBytes) return Advice::probe;
    Host& h = findOrCreate(now, host);
    h.lastWantedAt = now;
    if (holder.empty() || holder == self_) return Advice::probe;
    const bool holds = now < h.reportedAt + options_.reportTtl;
    if ((!holds || now >= h.reportedAt + options_.reportTtl / 2) &&
        now >= h.queriedAt + options_.queryInterval) {
        h.queriedAt = now, h.queryNumber = ++number_, h.queried = holder;
        out.push_back({self_, holder, HealthQuery{host, h.queryNumber}});
    }
    if (!holds || h.reportedReachable || now >= h.probedAt + options_.ownProbeInterval) return Advice::probe;
    ++avoidedProbes_;
    return Advice::treatAsUnreachable;
}
void HostProber::recordProbe(Millis now, const std::string& host, bool there) {
    if (host.size() > kMaxHostIdBytes) return;
    Host& h = findOrCreate(now, host);
    h.probedAt = now, h.reachable = there;
    if (there) h.reportedAt = -1e300;  // whatever others say: it answered
}
void HostProber::receive(Millis now, const Message& m, bool holds, std::vector<Message>& out) {
    if (const auto* ask = std::get_if<HealthQuery>(&m.body)) {
        const auto found = hosts_.find(ask->host);
        if (!holds || found == hosts_.end() || now >= found->second.probedAt + options_.reportTtl) return;
        out.push_back(
            {self_, m.from,
             HealthReport{ask->host, ask->number, found->second.reachable,
                          static_cast<std::uint32_t>(std::max(0.0, now - found->second.probedAt))}});
        return;
    }
    const auto& word = std::get<HealthReport>(m.body);
    const auto found = hosts_.find(word.host);
    if (found == hosts_.end() || word.number == 0 || found->second.queryNumber != word.number ||
        found->second.queried != m.from)
        return;
    Host& h = found->second;
    h.queryNumber = 0;  // said once
    // It was said after the asking: so the look was at the latest this long before now.
    const Millis at = h.queriedAt - static_cast<Millis>(word.ageMs);
    if (at <= h.reportedAt) return;
    h.reportedAt = at, h.reportedReachable = word.reachable;
}

}  // namespace beechpoint::health_check
