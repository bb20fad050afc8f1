#include "host_discovery/host_list_changes.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechpoint::host_discovery {
namespace {

constexpr Millis kSameMoment = 1;  // rounding; a drift must not add up over many changes

bool byId(const Host& one, const Host& other) { return one.instanceId < other.instanceId; }

// What remains of a time after so much more has passed.
Millis remainingAfter(Millis left, Millis passed) { return std::max(0.0, left - passed); }

// The host as it was read first, its times counted from a later reading.
Host later(const Host& host, Millis passed) {
    Host out = host;
    out.warmupLeft = remainingAfter(host.warmupLeft, passed);
    if (host.remaining) out.remaining = remainingAfter(*host.remaining, passed);
    return out;
}

bool sameSpan(Millis one, Millis other) { return std::abs(one - other) <= kSameMoment; }

bool sameAs(Host expected, const Host& host) {
    if (!sameSpan(expected.warmupLeft, host.warmupLeft)) return false;
    if (expected.remaining.has_value() != host.remaining.has_value()) return false;
    if (host.remaining && !sameSpan(*expected.remaining, *host.remaining)) return false;
    expected.warmupLeft = host.warmupLeft;
    expected.remaining = host.remaining;
    return expected == host;
}

}  // namespace

HostListChanges changesBetween(const HostList& base, const HostList& list) {
    HostListChanges changes{base.version, list.version, list.readAt - base.readAt, {}, {}};
    auto old = base.hosts.begin();
    for (const Host& host : list.hosts) {
        for (; old != base.hosts.end() && byId(*old, host); ++old) changes.removed.push_back(old->instanceId);
        const bool known = old != base.hosts.end() && old->instanceId == host.instanceId;
        if (!known || !sameAs(later(*old, changes.sinceBase), host)) changes.changed.push_back(host);
        if (known) ++old;
    }
    for (; old != base.hosts.end(); ++old) changes.removed.push_back(old->instanceId);
    return changes;
}

// All three lists are ordered by instanceId, so they are merged in one pass.
std::shared_ptr<const HostList> applyChanges(const HostList& base, const HostListChanges& changes,
                                             Millis readAt) {
    if (base.version != changes.base) return nullptr;
    auto list = std::make_shared<HostList>();
    list->version = changes.version;
    list->readAt = readAt;
    auto changed = changes.changed.begin();
    auto removed = changes.removed.begin();
    for (const Host& host : base.hosts) {
        for (; changed != changes.changed.end() && byId(*changed, host); ++changed)
            list->hosts.push_back(*changed);
        if (removed != changes.removed.end() && *removed == host.instanceId) {
            ++removed;
            continue;
        }
        const bool replaced = changed != changes.changed.end() && changed->instanceId == host.instanceId;
        list->hosts.push_back(replaced ? *changed : later(host, changes.sinceBase));
        if (replaced) ++changed;
    }
    list->hosts.insert(list->hosts.end(), changed, changes.changed.end());
    const bool allRemoved = removed == changes.removed.end();
    return allRemoved ? list : nullptr;
}

void HostListHistory::add(std::shared_ptr<const HostList> list) {
    if (!list || (!lists_.empty() && lists_.back()->version == list->version)) return;
    hosts_ += list->hosts.size();
    lists_.push_back(std::move(list));
    while (lists_.size() > 1 && (lists_.size() > kMaxLists || hosts_ > kMaxHosts)) {
        hosts_ -= lists_.front()->hosts.size();
        lists_.pop_front();
    }
}

std::optional<HostListChanges> HostListHistory::since(const HostListVersion& version) const {
    const auto hasVersion = [&](const auto& list) { return list->version == version; };
    const auto base = std::find_if(lists_.begin(), lists_.end(), hasVersion);
    if (base == lists_.end() || *base == lists_.back()) return std::nullopt;
    const HostList& newest = *lists_.back();
    HostListChanges changes = changesBetween(**base, newest);
    const auto count = static_cast<double>(changes.changed.size() + changes.removed.size());
    if (count > kMaxChangedFraction * static_cast<double>(newest.hosts.size())) return std::nullopt;
    return changes;
}

}  // namespace beechpoint::host_discovery
