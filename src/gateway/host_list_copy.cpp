#include "gateway/host_list_copy.hpp"

#include <utility>

namespace beechpoint::gateway {

bool HostListCopy::take(const control::PollReply& reply, Millis now) {
    if (reply.hostChanges) return takeChanges(reply, now);
    if (reply.hostList) {
        wantsWhole_ = false;
        const Millis age = reply.hostListAge.value_or(reply.hostList->readAge);
        return holder_.offer(control::toHostList(*reply.hostList, now), now - age, now);
    }
    if (reply.hostListAge) holder_.confirm(reply.hostListVersion, now - *reply.hostListAge);
    return false;
}

bool HostListCopy::takeChanges(const control::PollReply& reply, Millis now) {
    if (!holder_.list()) return false;
    const control::HostListDelta& shared = *reply.hostChanges;
    auto list = host_discovery::applyChanges(*holder_.list(), shared.changes, now - shared.readAge);
    wantsWhole_ = list == nullptr;
    if (!list) return false;
    return holder_.offer(std::move(list), now - reply.hostListAge.value_or(shared.readAge), now);
}

bool HostListCopy::offer(std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt,
                         Millis now) {
    return holder_.offer(std::move(list), confirmedAt, now);
}

host_discovery::HostListVersion HostListCopy::versionToAskWith() const {
    return wantsWhole_ ? host_discovery::HostListVersion{} : holder_.version();
}

}  // namespace beechpoint::gateway
