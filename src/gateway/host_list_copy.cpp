#include "gateway/host_list_copy.hpp"

#include <utility>

namespace beechpoint::gateway {

bool HostListCopy::apply(const control::PollReply& reply, Millis now) {
    if (reply.hostChanges) return applyChanges(reply, now);
    if (reply.hostList) {
        needsFullList_ = false;
        const Millis age = reply.hostListAge.value_or(reply.hostList->readAge);
        return newest_.offer(control::toHostList(*reply.hostList, now), now - age, now);
    }
    if (reply.hostListAge) newest_.confirm(reply.hostListVersion, now - *reply.hostListAge);
    return false;
}

bool HostListCopy::applyChanges(const control::PollReply& reply, Millis now) {
    if (!newest_.list()) return false;
    const control::HostListDelta& shared = *reply.hostChanges;
    auto list = host_discovery::applyChanges(*newest_.list(), shared.changes, now - shared.readAge);
    needsFullList_ = list == nullptr;
    if (!list) return false;
    return newest_.offer(std::move(list), now - reply.hostListAge.value_or(shared.readAge), now);
}

bool HostListCopy::offer(std::shared_ptr<const host_discovery::HostList> list, Millis confirmedAt,
                         Millis now) {
    return newest_.offer(std::move(list), confirmedAt, now);
}

host_discovery::HostListVersion HostListCopy::versionToPollWith() const {
    if (needsFullList_) return {};
    return newest_.version();
}

}  // namespace beechpoint::gateway
