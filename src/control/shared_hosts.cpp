#include "control/shared_hosts.hpp"

#include <algorithm>
#include <utility>

#include "leases/duty.hpp"
#include "replica/replica.hpp"

namespace beechpoint::control {
namespace {

constexpr std::string_view kHostsDuty = "hosts";
constexpr Millis kReaderHeard = 1500;  // a reader that has not said so for longer is not counted on
// An older list of another reader is sent to a gateway only where it was confirmed as lately as this.
constexpr Millis kListWorthSending = 1500;

}  // namespace

SharedHosts::SharedHosts(asio::io_context& io, const Clock& clock, Logger& logger,
                         instances::Poller::Settings settings, std::uint64_t seed,
                         std::function<void()> onChange)
    : clock_(clock),
      startedAt_(clock.now()),
      onChange_(std::move(onChange)),
      poller_(io, clock, logger, std::move(settings), seed, seed,
              [this](const auto& list, Millis confirmedAt, bool) { offer(list, confirmedAt); }) {}

void SharedHosts::take(Millis now, const Share& share) {
    if (share.hostList)
        offer(receivedList(*share.hostList, now), now - share.hostListAge.value_or(share.hostList->readAge));
    else if (share.hostListAge)
        holder_.confirm(share.hostListVersion, now - *share.hostListAge);
    if (share.readsHosts) readElsewhere_[share.member] = now;
    if (share.hostListVersion.fence == fence_) poller_.raiseNumber(share.hostListVersion.number);
}

void SharedHosts::forget(const std::function<bool(const std::string& member)>& isMember) {
    std::erase_if(readElsewhere_, [&](const auto& entry) { return !isMember(entry.first); });
}

void SharedHosts::offer(std::shared_ptr<const instances::HostList> list, Millis confirmedAt) {
    if (!holder_.offer(std::move(list), confirmedAt, clock_.now())) return;
    history_.take(holder_.list());
    onChange_();
}

void SharedHosts::look(Millis now, const replica::Replica* replica) {
    if (!replica || !replica->inView() || !replica->fresh(now)) return poller_.stop();
    std::vector<std::string> names;
    for (const replica::Member& member : replica->view().members) names.push_back(member.name);
    const auto order = leases::rendezvousOrder(kHostsDuty, std::move(names));
    const auto place = std::find(order.begin(), order.end(), replica->self().name);
    const auto rank = static_cast<std::size_t>(place - order.begin());
    if (rank == 0) return read(replica->view().epoch);
    if (isReadBefore(order, rank, now)) return poller_.stop();
    const Millis unconfirmed = age(now).value_or(now - startedAt_);
    if (poller_.running() || unconfirmed > kTakeoverAfter * static_cast<double>(rank))
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
    fence_ = epoch;
    const bool sameFence = version().fence == epoch;
    poller_.start(epoch, sameFence ? version().number : 0, list());
}

Millis SharedHosts::readAge(Millis now) const { return std::max(0.0, now - list()->readAt); }

std::optional<SharedHostList> SharedHosts::whole(Millis now) const {
    if (!list()) return std::nullopt;
    return SharedHostList{list()->version, readAge(now), list()->hosts};
}

void SharedHosts::answer(Millis now, const PollRequest& request, PollReply& reply) const {
    reply.hostListVersion = version();
    reply.hostListAge = age(now);
    if (!list() || version() == request.hostList) return;
    const bool newer = version() > request.hostList;
    if (!newer && *reply.hostListAge >= kListWorthSending) return;
    auto changes = newer && request.takesHostChanges ? history_.since(request.hostList) : std::nullopt;
    if (changes)
        reply.hostChanges = SharedHostChanges{std::move(*changes), readAge(now)};
    else
        reply.hostList = whole(now);
}

void SharedHosts::describe(Millis now, Share& share) const {
    share.hostListVersion = version();
    share.hostListAge = age(now);
    const bool lately = share.hostListAge && *share.hostListAge < kReaderHeard;
    share.readsHosts = poller_.running() && poller_.failures() == 0 && lately;
}

}  // namespace beechpoint::control
