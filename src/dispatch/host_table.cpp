#include "dispatch/host_table.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

// A host that is missing from the list for less time keeps its state: the list may have been incomplete.
constexpr Millis kUnlistedRetention = 30000;

// The platform lists a crashed instance for some seconds. One that is still listed after this time has not
// ended and may be sent to again.
constexpr Millis kEndedRetention = 20000;

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
    const auto known = indexById_.find(host.instanceId);
    const bool added = known == indexById_.end();
    HostSlot& slot = at(added ? allocateSlot(host.instanceId) : known->second);
    const bool returned = !added && slot.unlistedAt > 0;
    slot.host = host;
    slot.listed = true;
    slot.unlistedAt = 0;
    if (now > slot.endedAt + kEndedRetention) slot.endedAt = 0;
    if (host.warmupLeft > 0) slot.warmingUpUntil = std::max(slot.warmingUpUntil, now + host.warmupLeft);
    if ((added && listReceived_) || returned) slot.warmingUpSince = now;
}

void HostTable::evacuate(const EvacuatedZones& zones, Millis now) {
    const std::set<std::string> next(zones.zones.begin(), zones.zones.end());
    for (HostSlot& slot : slots_) {
        const bool returned = evacuatedZones_.contains(slot.host.zone) && !next.contains(slot.host.zone);
        if (slot.listed && returned) slot.warmingUpSince = now;
    }
    evacuatedZones_ = next;
}

int HostTable::find(const std::string& instance) const {
    const auto found = indexById_.find(instance);
    return found == indexById_.end() ? -1 : found->second;
}

int HostTable::findByKey(std::uint32_t key) const {
    const auto found = indexByKey_.find(key);
    return found == indexByKey_.end() ? -1 : found->second;
}

const std::vector<int>& HostTable::ofService(const std::string& service) const {
    static const std::vector<int> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

int HostTable::allocateSlot(const std::string& instance) {
    int index = static_cast<int>(slots_.size());
    if (freeSlots_.empty()) {
        slots_.emplace_back();
    } else {
        index = freeSlots_.back();
        freeSlots_.pop_back();
    }
    indexByKey_[hostKey(instance)] = index;
    indexById_[instance] = index;
    return index;
}

void HostTable::prune(Millis now, Millis oldest) {
    for (int i = 0; i < static_cast<int>(slots_.size()); ++i) {
        HostSlot& slot = at(i);
        std::erase_if(slot.records, [&](const auto& entry) {
            const coordinator::policy::Record& record = entry.second;
            return record.out.empty() && std::max(record.f.at, record.lastServed) < toNanos(oldest);
        });
        const bool expired =
            !slot.listed && slot.unlistedAt > 0 && now > slot.unlistedAt + kUnlistedRetention;
        if (!expired || slot.inFlight > 0 || slot.host.instanceId.empty()) continue;
        indexById_.erase(slot.host.instanceId);
        indexByKey_.erase(hostKey(slot.host.instanceId));
        slot = HostSlot{};
        freeSlots_.push_back(i);
    }
}

}  // namespace beechpoint::dispatch
