#include "health_check/host_prober.hpp"

#include <algorithm>

namespace beechpoint::health_check {

HostProber::Host& HostProber::at(Millis now, const std::string& host) {
    if (const auto found = hosts_.find(host); found != hosts_.end()) return found->second;
    if (hosts_.size() >= kMostHosts) {
        hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(), [](auto& a, auto& b) {
            return a.second.wantedAt < b.second.wantedAt;
        }));
        ++evicted_;
    }
    Host& fresh = hosts_[host];
    fresh.wantedAt = now;
    return fresh;
}

Advice HostProber::wanted(Millis now, const std::string& host, const std::string& holder,
                          std::vector<Message>& out) {
    if (host.size() > kMostHost) return Advice::look;
    Host& h = at(now, host);
    h.wantedAt = now;
    if (holder.empty() || holder == self_) return Advice::look;
    const bool holds = now < h.wordAt + options_.word;
    if ((!holds || now >= h.wordAt + options_.word / 2) && now >= h.askedAt + options_.again) {
        h.askedAt = now, h.asked = ++number_, h.by = holder;
        out.push_back({self_, holder, Ask{host, h.asked}});
    }
    if (!holds || h.wordThere || now >= h.sawAt + options_.own) return Advice::look;
    ++spared_;
    return Advice::away;
}
void HostProber::saw(Millis now, const std::string& host, bool there) {
    if (host.size() > kMostHost) return;
    Host& h = at(now, host);
    h.sawAt = now, h.there = there;
    if (there) h.wordAt = -1e300;  // whatever others say: it answered
}
void HostProber::receive(Millis now, const Message& m, bool holds, std::vector<Message>& out) {
    if (const auto* ask = std::get_if<Ask>(&m.body)) {
        const auto found = hosts_.find(ask->host);
        if (!holds || found == hosts_.end() || now >= found->second.sawAt + options_.word) return;
        out.push_back({self_, m.from,
                       Word{ask->host, ask->number, found->second.there,
                            static_cast<std::uint32_t>(std::max(0.0, now - found->second.sawAt))}});
        return;
    }
    const auto& word = std::get<Word>(m.body);
    const auto found = hosts_.find(word.host);
    if (found == hosts_.end() || word.number == 0 || found->second.asked != word.number ||
        found->second.by != m.from)
        return;
    Host& h = found->second;
    h.asked = 0;  // said once
    // It was said after the asking: so the look was at the latest this long before now.
    const Millis at = h.askedAt - static_cast<Millis>(word.ageMs);
    if (at <= h.wordAt) return;
    h.wordAt = at, h.wordThere = word.there;
}

}  // namespace beechpoint::health_check
