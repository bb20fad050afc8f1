#include "dispatch/reported_load.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

void ReportedLoad::update(const PeerLoad& load, Millis now) {
    if (!sources_.contains(load.source) && sources_.size() >= kMaxSources) return;
    Source& source = sources_[load.source];
    source.validUntil = now + load.validFor;
    if (load.full) {
        std::vector<std::uint32_t> ended;
        for (const auto& [host, figures] : source.hosts)
            if (std::ranges::find(load.hosts, host, &HostLoad::host) == load.hosts.end())
                ended.push_back(host);
        for (const std::uint32_t host : ended) replace(source, HostLoad{host, 0, 0}, now);
    }
    for (const HostLoad& each : load.hosts) replace(source, each, now);
    for (const HostSpeed& speed : load.speeds)
        if (const int index = hosts_.findByKey(speed.host); index >= 0)
            hosts_.at(index).slowness.add(toNanos(now), speed.slowness);
}

void ReportedLoad::replace(Source& source, const HostLoad& load, Millis now) {
    const auto known = source.hosts.find(load.host);
    const Figures before = known == source.hosts.end() ? Figures{} : known->second;
    if (load.waiting == 0) {
        if (known != source.hosts.end()) source.hosts.erase(known);
    } else {
        if (known == source.hosts.end() && source.hosts.size() >= kMaxHosts) return;
        source.hosts[load.host] = Figures{load.waiting, load.workS};
    }
    const double workS = load.waiting == 0 ? 0 : load.workS;
    add(load.host, load.waiting - before.waiting, workS - before.workS, now);
}

void ReportedLoad::add(std::uint32_t host, int waiting, double workS, Millis now) {
    Figures& total = totals_[host];
    const int index = hosts_.findByKey(host);
    if (index >= 0 && (total.waiting + hosts_.at(index).waiting == 0 || waiting < 0))
        hosts_.at(index).progressAt = now;
    total.waiting += waiting;
    total.workS = total.waiting == 0 ? 0 : total.workS + workS;
    write(host, total);
    if (total.waiting == 0) totals_.erase(host);
}

void ReportedLoad::write(std::uint32_t host, const Figures& total) {
    const int index = hosts_.findByKey(host);
    if (index < 0) return;
    hosts_.at(index).peerWaiting = total.waiting;
    hosts_.at(index).peerPrefillS = std::max(0.0, total.workS);
}

void ReportedLoad::hostsChanged() {
    for (const auto& [host, total] : totals_) write(host, total);
}

void ReportedLoad::expire(Millis now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [name, source] : sources_)
        if (now > source.validUntil) expired.push_back(name);
    for (const std::uint64_t name : expired) {
        update(PeerLoad{name, true, {}, 0, {}}, now);
        sources_.erase(name);
    }
}

}  // namespace beechpoint::dispatch
