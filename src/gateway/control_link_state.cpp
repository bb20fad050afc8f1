#include "gateway/control_link_state.hpp"

#include <algorithm>
#include <utility>

#include "leases/role_assignment.hpp"

namespace beechpoint::gateway {
namespace {

constexpr std::size_t kMaxDoublings = 6;
constexpr double kWaitFraction =
    0.8;  // of kWait at least: long polls answered together must not end together again

enum Distance { ownRegion = 0, otherRegion = 1, noMember = 2 };

Millis doubled(Millis first, std::size_t times, Millis most) {
    return std::min(first * static_cast<double>(1u << std::min(times, kMaxDoublings)), most);
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
    const bool answeredBefore = polled_ == current_;
    const Millis first = doubled(kFirstTimeout, roundsOf(timeouts_), kFirstTimeoutMost);
    const Millis wait = kWait * (kWaitFraction + (1 - kWaitFraction) * random_());
    const Millis timeout = answeredBefore ? wait + kAnswerSlack : first;
    answerDueAt_ = now + timeout;
    return LinkCall{asked_, polled_, answeredBefore ? wait : 0, timeout};
}

ReplyVerdict ControlLinkState::onReply(Millis now, std::uint64_t number, const control::PollReply& reply) {
    const bool isOther = clusterId_ != 0 && reply.clusterId != 0 && reply.clusterId != clusterId_;
    if (isOther || reply.status == control::PollStatus::clusterMismatch) {
        onFailure(now, number);
        return ReplyVerdict::otherCluster;
    }
    if (reply.status != control::PollStatus::ok) {
        onRefusal(now, number, reply);
        return ReplyVerdict::refused;
    }
    onAnswer(now, number, reply);
    return ReplyVerdict::accepted;
}

void ControlLinkState::onRefusal(Millis now, std::uint64_t number, const control::PollReply& reply) {
    onFailure(now, number);
    if (running_ && !membersAreFresh_) learnMembers(reply);
}

void ControlLinkState::onAnswer(Millis now, std::uint64_t number, const control::PollReply& reply) {
    if (!running_) return;
    const bool isLate = number != asked_ || wakeAt_;
    heardAt_ = now;
    if (!isLate) {
        failures_ = 0;
        timeouts_ = 0;
        current_ = polled_;
    }
    if (!reply.members.empty()) membersAreFresh_ = true;
    learnMembers(reply);
    if (isLate) return;
    if (now - failedAt_ > kReturnAfter) turn_ = 0;
    const Millis advised = std::clamp(reply.retryAfterMs, 0.0, kMaxRetryAfter) * (0.5 + random_());
    wakeAt_ = now + std::max(kSpacing, advised);
}

void ControlLinkState::onFailure(Millis now, std::uint64_t number) {
    if (!running_ || number != asked_ || wakeAt_) return;
    if (current_ == polled_) current_.clear();
    ++turn_;
    ++failures_;
    const bool refused = now < answerDueAt_;
    timeouts_ = refused ? 0 : timeouts_ + 1;
    failedAt_ = now;
    wakeAt_ = now + doubled(kRetryFirst, roundsOf(failures_), kRetryMost) * (0.5 + random_());
}

std::size_t ControlLinkState::roundsOf(std::size_t failures) const {
    return failures / std::max<std::size_t>(order_.size(), 1);
}

void ControlLinkState::learnMembers(const control::PollReply& reply) {
    if (reply.members.empty()) return;
    const bool regionsKnown = reply.memberRegions.size() == reply.members.size();
    std::vector<Member> members;
    for (std::size_t index = 0; index < reply.members.size(); ++index)
        members.push_back({reply.members[index], regionsKnown ? reply.memberRegions[index] : std::string{}});
    if (members == members_) return;
    members_ = std::move(members);
    orderMembers();
}

int ControlLinkState::distanceOf(const std::string& address) const {
    const auto member = std::ranges::find(members_, address, &Member::address);
    if (member == members_.end()) return noMember;
    return !region_.empty() && member->region == region_ ? ownRegion : otherRegion;
}

// The turn stays with the member that answered last, unless that one is farther away than the first of the new order.
void ControlLinkState::orderMembers() {
    std::vector<std::string> all;
    for (const Member& member : members_) all.push_back(member.address);
    for (const std::string& seed : seeds_)
        if (std::ranges::find(all, seed) == all.end()) all.push_back(seed);
    std::vector<std::string> next = leases::rendezvousOrder(name_, std::move(all));
    std::ranges::stable_sort(next, {}, [this](const std::string& address) { return distanceOf(address); });
    if (next == order_) return;
    order_ = std::move(next);
    const auto current = std::ranges::find(order_, current_);
    const bool stays = current != order_.end() && distanceOf(*current) == distanceOf(order_.front());
    turn_ = stays ? static_cast<std::size_t>(current - order_.begin()) : 0;
}

std::string ControlLinkState::nextAddress() const {
    return order_.empty() ? "" : order_[turn_ % order_.size()];
}

}  // namespace beechpoint::gateway
