#include "control/long_polls.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::control {
namespace {

void recordFreshness(Millis now, Freshness freshness, LongPoll& poll) {
    if (freshness == Freshness::fresh)
        poll.refuseAt.reset();
    else if (!poll.refuseAt)
        poll.refuseAt = now + kNotFreshWait;
}

}  // namespace

void LongPolls::add(Millis now, PollRequest request, PollTicket ticket, Millis wait, Freshness freshness) {
    LongPoll poll;
    poll.request = std::move(request);
    poll.ticket = ticket;
    poll.deadline = now + wait;
    poll.arrivedWhileNotFresh = freshness == Freshness::notFresh;
    recordFreshness(now, freshness, poll);
    const std::string gateway = poll.request.gateway.name;
    polls_.insert_or_assign(gateway, std::move(poll));
}

std::optional<LongPoll> LongPolls::take(const std::string& gateway) {
    auto node = polls_.extract(gateway);
    if (node.empty()) return std::nullopt;
    return std::move(node.mapped());
}

std::vector<LongPoll> LongPolls::takeAnswerable(Millis now, Freshness freshness, Millis ahead,
                                                const HasUpdate& hasUpdate) {
    const auto isAnswerable = [&](const LongPoll& poll) {
        if (freshness == Freshness::notFresh) return now >= *poll.refuseAt;
        return poll.arrivedWhileNotFresh || poll.deadline - now < ahead || hasUpdate(poll.request);
    };
    std::vector<LongPoll> answerable;
    for (auto next = polls_.begin(); next != polls_.end();) {
        const auto entry = next++;
        LongPoll& poll = entry->second;
        recordFreshness(now, freshness, poll);
        if (!isAnswerable(poll)) continue;
        answerable.push_back(std::move(poll));
        polls_.erase(entry);
    }
    return answerable;
}

std::vector<LongPoll> LongPolls::takeAll() {
    std::vector<LongPoll> all;
    for (auto& [gateway, poll] : polls_) all.push_back(std::move(poll));
    polls_.clear();
    return all;
}

bool LongPolls::waitsForFreshness() const {
    return std::any_of(polls_.begin(), polls_.end(),
                       [](const auto& entry) { return entry.second.refuseAt.has_value(); });
}

}  // namespace beechpoint::control
