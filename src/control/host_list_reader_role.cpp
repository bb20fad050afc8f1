#include "control/host_list_reader_role.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "leases/role_assignment.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kHostsRole = "hosts";

}  // namespace

void HostListReaderRole::update(Millis now, const CommittedTableSource* replica,
                                const host_discovery::NewestHostList& known) {
    if (!replica || !replica->inView() || !replica->fresh(now)) {
        stop();
        return;
    }
    std::vector<std::string> names;
    for (const replica::Member& member : replica->view().members) names.push_back(member.name);
    const auto order = leases::rendezvousOrder(kHostsRole, std::move(names));
    const auto self = std::find(order.begin(), order.end(), replica->self().name);
    const auto rank = static_cast<std::size_t>(self - order.begin());
    if (rank == 0) {
        read(replica->view().epoch, known);
        return;
    }
    if (isReadBefore(order, rank, now)) {
        stop();
        return;
    }
    const Millis unconfirmed = known.age(now).value_or(now - startedAt_);
    if (source_.running() || unconfirmed > kTakeoverAfter * static_cast<double>(rank))
        read(replica->view().epoch, known);
}

void HostListReaderRole::onPeerUpdate(Millis now, const PeerUpdate& peerUpdate) {
    if (peerUpdate.readsHostList) reportedReadingAt_[peerUpdate.member] = now;
    // Two readers under one fencing token: the number goes on from the higher one.
    if (peerUpdate.hostListVersion.fencingToken == fencingToken_)
        source_.raiseNumber(peerUpdate.hostListVersion.number);
}

void HostListReaderRole::forgetMembersExcept(const std::function<bool(const std::string& member)>& isMember) {
    std::erase_if(reportedReadingAt_, [&](const auto& entry) { return !isMember(entry.first); });
}

bool HostListReaderRole::isReadBefore(const std::vector<std::string>& order, std::size_t rank,
                                      Millis now) const {
    const auto reportsReading = [&](const std::string& member) {
        const auto reported = reportedReadingAt_.find(member);
        return reported != reportedReadingAt_.end() && now - reported->second < kReaderReportExpiry;
    };
    return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(rank), reportsReading);
}

void HostListReaderRole::read(std::uint64_t epoch, const host_discovery::NewestHostList& known) {
    fencingToken_ = epoch;
    const host_discovery::HostListVersion version = known.version();
    const std::uint64_t lastNumber = version.fencingToken == epoch ? version.number : 0;
    source_.start(epoch, lastNumber, known.list());
}

}  // namespace beechpoint::control
