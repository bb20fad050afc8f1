#include "control/shared_hosts.hpp"

#include <algorithm>
#include <utility>

#include "control/codec.hpp"
#include "leases/role_assignment.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kHostsDuty = "hosts";
constexpr Millis kReaderHeard = 1500;  // a reader that has not said so for longer is not counted on
// An older list of another reader is sent to a gateway only where it was confirmed as lately as this.
constexpr Millis kListWorthSending = 1500;
constexpr std::size_t kMostPackedBases = 64;

}  // namespace

bool SharedHosts::take(Millis now, const PeerUpdate& peerUpdate) {
    const bool isChanged = takeList(now, peerUpdate);
    if (peerUpdate.hostListAge) holder_.confirm(peerUpdate.hostListVersion, now - *peerUpdate.hostListAge);
    if (peerUpdate.readsHosts) readElsewhere_[peerUpdate.member] = now;
    if (peerUpdate.hostListVersion.fencingToken == fencingToken_)
        source_.raiseNumber(peerUpdate.hostListVersion.number);
    return isChanged;
}

bool SharedHosts::takeList(Millis now, const PeerUpdate& peerUpdate) {
    if (peerUpdate.hostList)
        return offer(now, receivedList(*peerUpdate.hostList, now),
                     now - peerUpdate.hostListAge.value_or(peerUpdate.hostList->readAge));
    if (!peerUpdate.hostChanges || !list()) return false;
    const Millis readAge = peerUpdate.hostChanges->readAge;
    auto changed = host_discovery::applyChanges(*list(), peerUpdate.hostChanges->changes, now - readAge);
    return changed && offer(now, std::move(changed), now - peerUpdate.hostListAge.value_or(readAge));
}

void SharedHosts::forget(const std::function<bool(const std::string& member)>& isMember) {
    std::erase_if(readElsewhere_, [&](const auto& entry) { return !isMember(entry.first); });
}

bool SharedHosts::offer(Millis now, std::shared_ptr<const host_discovery::HostList> list,
                        Millis confirmedAt) {
    if (!holder_.offer(std::move(list), confirmedAt, now)) return false;
    history_.add(holder_.list());
    takenAt_ = now;
    packedList_.clear();
    packedChanges_.clear();
    return true;
}

void SharedHosts::look(Millis now, const CommittedTableSource* replica) {
    if (!replica || !replica->inView() || !replica->fresh(now)) return source_.stop();
    std::vector<std::string> names;
    for (const replica::Member& member : replica->view().members) names.push_back(member.name);
    const auto order = leases::rendezvousOrder(kHostsDuty, std::move(names));
    const auto place = std::find(order.begin(), order.end(), replica->self().name);
    const auto rank = static_cast<std::size_t>(place - order.begin());
    if (rank == 0) return read(replica->view().epoch);
    if (isReadBefore(order, rank, now)) return source_.stop();
    const Millis unconfirmed = age(now).value_or(now - startedAt_);
    if (source_.running() || unconfirmed > kTakeoverAfter * static_cast<double>(rank))
        read(replica->view().epoch);
}

bool SharedHosts::isReadBefore(const std::vector<std::string>& order, std::size_t rank, Millis now) const {
    return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(rank),
                       [&](const std::string& member) {
                           const auto told = readElsewhere_.find(member);
                           return told != readElsewhere_.end() && now - told->second < kReaderHeard;
                       });
}

void SharedHosts::read(std::uint64_t epoch) {
    fencingToken_ = epoch;
    const bool sameFence = version().fencingToken == epoch;
    source_.start(epoch, sameFence ? version().number : 0, list());
}

Millis SharedHosts::readAge(Millis now) const { return std::max(0.0, now - list()->readAt); }

std::optional<SharedHostList> SharedHosts::whole(Millis now) const {
    if (!list()) return std::nullopt;
    return SharedHostList{list()->version, readAge(now), list()->hosts};
}

const std::string& SharedHosts::packedList() {
    if (packedList_.empty()) packedList_ = packHostList(*list());
    return packedList_;
}

// Many gateways and members hold the same list: the changes are compared and packed once.
const std::string& SharedHosts::packedChanges(const host_discovery::HostListVersion& held) {
    const auto known = packedChanges_.find(held);
    if (known != packedChanges_.end()) return known->second;
    if (packedChanges_.size() >= kMostPackedBases) packedChanges_.clear();
    const auto changes = history_.since(held);
    return packedChanges_[held] = changes ? packHostChanges(*changes) : std::string{};
}

bool SharedHosts::isToTell(Millis now, const host_discovery::HostListVersion& held) const {
    if (!list() || held >= version()) return false;
    return reads() || now - takenAt_ >= kRelayAfter;
}

void SharedHosts::tell(Millis now, const host_discovery::HostListVersion& held, bool packed,
                       PeerUpdate& peerUpdate) {
    if (!packed) {
        peerUpdate.hostList = whole(now);
        return;
    }
    peerUpdate.hostListReadAge = readAge(now);
    peerUpdate.packedHostChanges = packedChanges(held);
    if (peerUpdate.packedHostChanges.empty()) peerUpdate.packedHostList = packedList();
}

void SharedHosts::answer(Millis now, const PollRequest& request, PollReply& reply) {
    reply.hostListVersion = version();
    reply.hostListAge = age(now);
    if (!list() || version() == request.hostList) return;
    const bool newer = version() > request.hostList;
    if (!newer && *reply.hostListAge >= kListWorthSending) return;
    if (request.takesPackedState) {
        reply.hostListReadAge = readAge(now);
        if (newer) reply.packedHostChanges = packedChanges(request.hostList);
        if (reply.packedHostChanges.empty()) reply.packedHostList = packedList();
        return;
    }
    auto changes = newer && request.takesHostChanges ? history_.since(request.hostList) : std::nullopt;
    if (changes)
        reply.hostChanges = SharedHostChanges{std::move(*changes), readAge(now)};
    else
        reply.hostList = whole(now);
}

void SharedHosts::describe(Millis now, PeerUpdate& peerUpdate) const {
    peerUpdate.hostListVersion = version();
    peerUpdate.hostListAge = age(now);
    const bool lately = peerUpdate.hostListAge && *peerUpdate.hostListAge < kReaderHeard;
    peerUpdate.readsHosts = source_.running() && source_.failures() == 0 && lately;
}

}  // namespace beechpoint::control
