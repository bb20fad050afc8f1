#include "gateway/control_link_state.hpp"

#include <algorithm>
#include <utility>

#include "leases/role_assignment.hpp"

namespace beechpoint::gateway {
namespace {

constexpr std::size_t kMostDoublings = 6;
constexpr double kWaitLeast = 0.8;  // of kWait: polls that were answered together don't end together again

enum Distance { ownRegion = 0, elsewhere = 1, noMember = 2 };

Millis doubled(Millis first, std::size_t times, Millis most) {
    return std::min(first * static_cast<double>(1u << std::min(times, kMostDoublings)), most);
}

}  // namespace

ControlLinkState::ControlLinkState(std::string name, std::uint64_t seed)
    : random_(seed), name_(std::move(name)) {}

void ControlLinkState::region(std::string region) {
    if (region == region_) return;
    region_ = std::move(region);
    orderMembers();
}

void ControlLinkState::seeds(std::vector<std::string> addresses) {
    seeds_ = std::move(addresses);
    orderMembers();
}

std::optional<LinkCall> ControlLinkState::start(Millis now) {
    running_ = true;
    return poll(now);
}

std::optional<LinkCall> ControlLinkState::pollNow(Millis now) {
    if (!running_) return std::nullopt;
    return poll(now);
}

std::optional<LinkCall> ControlLinkState::onTimer(Millis now) {
    if (!running_ || !wakeAt_ || now < *wakeAt_) return std::nullopt;
    return poll(now);
}

void ControlLinkState::stop() {
    running_ = false;
    ++asked_;
    wakeAt_.reset();
}

std::optional<LinkCall> ControlLinkState::poll(Millis now) {
    wakeAt_.reset();
    polled_ = nextAddress();
    ++asked_;
    if (polled_.empty()) {
        wakeAt_ = now + kRetryMost;
        return std::nullopt;
    }
    const bool known = polled_ == current_;
    const Millis first = doubled(kFirstTimeout, roundsOf(silences_), kFirstTimeoutMost);
    const Millis wait = kWait * (kWaitLeast + (1 - kWaitLeast) * random_());
    const Millis timeout = known ? wait + kAnswerSlack : first;
    silentAt_ = now + timeout;
    return LinkCall{asked_, polled_, known ? wait : 0, timeout};
}

void ControlLinkState::onAnswer(Millis now, std::uint64_t number, const control::PollReply& reply) {
    if (!running_) return;
    const bool isLate = number != asked_ || wakeAt_;
    heardAt_ = now;
    if (!isLate) {
        failures_ = silences_ = 0;
        current_ = polled_;
    }
    learnMembers(reply);
    if (isLate) return;
    if (now - failedAt_ > kReturnAfter) turn_ = 0;
    const Millis pause = std::clamp(reply.retryAfterMs, 0.0, kMaxRetryAfter) * (0.5 + random_());
    wakeAt_ = now + std::max(kSpacing, pause);
}

void ControlLinkState::onFailure(Millis now, std::uint64_t number) {
    if (!running_ || number != asked_ || wakeAt_) return;
    if (current_ == polled_) current_.clear();
    ++turn_;
    ++failures_;
    silences_ = now < silentAt_ ? 0 : silences_ + 1;
    failedAt_ = now;
    wakeAt_ = now + doubled(kRetryFirst, roundsOf(failures_), kRetryMost) * (0.5 + random_());
}

std::size_t ControlLinkState::roundsOf(std::size_t failures) const {
    return failures / std::max<std::size_t>(order_.size(), 1);
}

void ControlLinkState::learnMembers(const control::PollReply& reply) {
    if (reply.members.empty()) return;
    const bool placed = reply.memberRegions.size() == reply.members.size();
    std::vector<Known> members;
    for (std::size_t index = 0; index < reply.members.size(); ++index)
        members.push_back({reply.members[index], placed ? reply.memberRegions[index] : std::string{}});
    if (members == members_) return;
    members_ = std::move(members);
    orderMembers();
}

int ControlLinkState::distanceOf(const std::string& address) const {
    const auto member = std::ranges::find(members_, address, &Known::address);
    if (member == members_.end()) return noMember;
    return !region_.empty() && member->region == region_ ? ownRegion : elsewhere;
}

// A turn that stands at the member that answered last stays with it, unless a member of the own region is known and that is none.
void ControlLinkState::orderMembers() {
    std::vector<std::string> all;
    for (const Known& member : members_) all.push_back(member.address);
    for (const std::string& seed : seeds_)
        if (std::ranges::find(all, seed) == all.end()) all.push_back(seed);
    std::vector<std::string> next = leases::rendezvousOrder(name_, std::move(all));
    std::ranges::stable_sort(next, {}, [this](const std::string& address) { return distanceOf(address); });
    if (next == order_) return;
    order_ = std::move(next);
    const auto place = std::ranges::find(order_, current_);
    const bool stays = place != order_.end() && distanceOf(*place) == distanceOf(order_.front());
    turn_ = stays ? static_cast<std::size_t>(place - order_.begin()) : 0;
}

std::string ControlLinkState::nextAddress() const {
    return order_.empty() ? "" : order_[turn_ % order_.size()];
}

}  // namespace beechpoint::gateway
