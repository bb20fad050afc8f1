#include "host_discovery/host_list.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beechpoint::host_discovery {
namespace {

// Ends of two time spans, on the same clock. Both over by `now`: the same.
bool sameMoment(Millis one, Millis other, Millis now, Millis tolerance) {
    if (one <= now && other <= now) return true;
    return std::abs(one - other) <= tolerance;
}

bool sameHost(const Host& one, Millis oneReadAt, const Host& other, Millis otherReadAt, Millis tolerance) {
    const Millis now = std::max(oneReadAt, otherReadAt);
    if (!sameMoment(oneReadAt + one.warmupLeft, otherReadAt + other.warmupLeft, now, tolerance)) return false;
    if (one.remaining.has_value() != other.remaining.has_value()) return false;
    if (one.remaining &&
        !sameMoment(oneReadAt + *one.remaining, otherReadAt + *other.remaining, now, tolerance))
        return false;
    return one.instanceId == other.instanceId && one.service == other.service &&
           one.address == other.address && one.zone == other.zone && one.revision == other.revision &&
           one.capacity == other.capacity && one.state == other.state && one.phase == other.phase &&
           one.models == other.models;
}

}  // namespace

bool sameHosts(const HostList& one, const HostList& other, Millis tolerance) {
    const auto same = [&](const Host& host, const Host& otherHost) {
        return sameHost(host, one.readAt, otherHost, other.readAt, tolerance);
    };
    return std::equal(one.hosts.begin(), one.hosts.end(), other.hosts.begin(), other.hosts.end(), same);
}

bool NewestHostList::offer(std::shared_ptr<const HostList> list, Millis confirmedAt, Millis now) {
    if (!list) return false;
    if (list_ && list->version == list_->version) {
        confirm(list->version, confirmedAt);
        return false;
    }
    const bool isStale = list_ && now - confirmedAt_ > kStale && confirmedAt > confirmedAt_;
    if (list_ && list->version < list_->version && !isStale) return false;
    list_ = std::move(list);
    confirmedAt_ = confirmedAt;
    return true;
}

bool NewestHostList::confirm(const HostListVersion& version, Millis confirmedAt) {
    if (!list_ || list_->version != version) return false;
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
    return true;
}

std::optional<Millis> NewestHostList::age(Millis now) const {
    if (!list_) return std::nullopt;
    return std::max(0.0, now - confirmedAt_);
}

}  // namespace beechpoint::host_discovery
