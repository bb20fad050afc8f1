#include "control/long_polls.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::control {

void LongPolls::hold(Millis now, PollRequest request, PollTicket ticket, Millis wait, bool fresh) {
    LongPoll poll{std::move(request), ticket, now + wait};
    poll.anyAnswer = !fresh;
    poll.refuseAt = fresh ? 0 : now + kNotFreshWait;
    const std::string gateway = poll.request.gateway.name;
    polls_.insert_or_assign(gateway, std::move(poll));
}

std::vector<LongPoll> LongPolls::take(const std::string& gateway) {
    std::vector<LongPoll> taken;
    auto node = polls_.extract(gateway);
    if (!node.empty()) taken.push_back(std::move(node.mapped()));
    return taken;
}

std::vector<LongPoll> LongPolls::takeDue(Millis now, bool fresh, Millis ahead, const HasUpdate& hasNews) {
    std::vector<LongPoll> due;
    for (auto next = polls_.begin(); next != polls_.end();) {
        const auto place = next++;
        LongPoll& poll = place->second;
        if (fresh) poll.refuseAt = 0;
        if (!fresh && poll.refuseAt == 0) poll.refuseAt = now + kNotFreshWait;
        const bool isDue = fresh ? poll.anyAnswer || poll.deadline - now < ahead || hasNews(poll.request)
                                 : now >= poll.refuseAt;
        if (!isDue) continue;
        due.push_back(std::move(poll));
        polls_.erase(place);
    }
    return due;
}

std::vector<LongPoll> LongPolls::takeAll() {
    std::vector<LongPoll> all;
    for (auto& [gateway, poll] : std::exchange(polls_, {})) all.push_back(std::move(poll));
    return all;
}

bool LongPolls::waitsForFreshness() const {
    return std::any_of(polls_.begin(), polls_.end(),
                       [](const auto& poll) { return poll.second.refuseAt > 0; });
}

}  // namespace beechpoint::control
