#include "dispatch/host_table.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr Millis kUnlistedMemory =
    30000;  // of a host that is not listed: an incomplete list does not make it new

// The platform lists an instance that has crashed for some seconds. One that it lists for much longer has not ended: it is tried again.
constexpr Millis kEndedMemory = 20000;

}  // namespace

void HostTable::update(const HostList& list, Millis now) {
    for (HostSlot& slot : slots_) slot.listed = false;
    for (const Host& host : list.hosts) listHost(host, now);
    byService_.clear();
    for (int i = 0; i < static_cast<int>(slots_.size()); ++i) {
        HostSlot& slot = at(i);
        if (slot.listed)
            byService_[slot.host.service].push_back(i);
        else if (slot.unlistedAt == 0)
            slot.unlistedAt = now;
    }
    listReceived_ = true;
}

void HostTable::listHost(const Host& host, Millis now) {
    const auto known = index_.find(host.instanceId);
    const bool added = known == index_.end();
    HostSlot& slot = at(added ? allocateSlot(host.instanceId) : known->second);
    const bool returned = !added && slot.unlistedAt > 0;
    slot.host = host;
    slot.listed = true;
    slot.unlistedAt = 0;
    if (now > slot.endedAt + kEndedMemory) slot.endedAt = 0;
    if (host.warmupLeft > 0) slot.warmingUpUntil = std::max(slot.warmingUpUntil, now + host.warmupLeft);
    if ((added && listReceived_) || returned) slot.warmingUpSince = now;
}

void HostTable::evacuate(const EvacuatedZones& zones, Millis now) {
    const std::set<std::string> next(zones.zones.begin(), zones.zones.end());
    for (HostSlot& slot : slots_) {
        const bool returned = evacuated_.contains(slot.host.zone) && !next.contains(slot.host.zone);
        if (slot.listed && returned) slot.warmingUpSince = now;
    }
    evacuated_ = next;
}

int HostTable::find(const std::string& instance) const {
    const auto found = index_.find(instance);
    return found == index_.end() ? -1 : found->second;
}

int HostTable::findKey(std::uint32_t key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? -1 : found->second;
}

const std::vector<int>& HostTable::ofService(const std::string& service) const {
    static const std::vector<int> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

int HostTable::allocateSlot(const std::string& instance) {
    int index = static_cast<int>(slots_.size());
    if (spare_.empty()) {
        slots_.emplace_back();
    } else {
        index = spare_.back();
        spare_.pop_back();
    }
    keys_[hostKey(instance)] = index;
    index_[instance] = index;
    return index;
}

void HostTable::prune(Millis now, Millis oldest) {
    for (int i = 0; i < static_cast<int>(slots_.size()); ++i) {
        HostSlot& slot = at(i);
        std::erase_if(slot.records, [&](const auto& entry) {
            const coordinator::policy::Record& record = entry.second;
            return record.out.empty() && std::max(record.f.at, record.lastServed) < toNanos(oldest);
        });
        const bool expired = !slot.listed && slot.unlistedAt > 0 && now > slot.unlistedAt + kUnlistedMemory;
        if (!expired || slot.inFlight > 0 || slot.host.instanceId.empty()) continue;
        index_.erase(slot.host.instanceId);
        keys_.erase(hostKey(slot.host.instanceId));
        slot = HostSlot{};
        spare_.push_back(i);
    }
}

}  // namespace beechpoint::dispatch
