// Polls of gateways that wait for news: one a gateway. Decides which are due; it knows nothing of what they are answered.
//
//   this member can vouch for its table     due: news, the end of the wait, or came while it could not
//   it can't                                due kNotFreshWait after it was first noticed, to be sent to another member
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/messages.hpp"

namespace beechpoint::control {

// Names a poll to whoever brought it and is to send its answer.
using PollTicket = std::uint64_t;

inline constexpr std::size_t kMaxLongPolls = 512;
inline constexpr Millis kNotFreshWait = 300;

struct LongPoll {
    PollRequest request;
    PollTicket ticket = 0;
    Millis deadline = 0;
    bool anyAnswer =
        false;            // came while this member could not vouch for its table: answered as soon as it can
    Millis refuseAt = 0;  // 0: this member can vouch for its table
};

class LongPolls {
public:
    using HasUpdate = std::function<bool(const PollRequest&)>;

    // Takes the place of an earlier poll of the same gateway, which must have been taken out.
    void hold(Millis now, PollRequest request, PollTicket ticket, Millis wait, bool fresh);
    // The poll of that gateway, taken out, if there is one.
    std::vector<LongPoll> take(const std::string& gateway);
    // Those that are due, taken out; the ends of waits within `ahead` count as come.
    std::vector<LongPoll> takeDue(Millis now, bool fresh, Millis ahead, const HasUpdate& hasNews);
    std::vector<LongPoll> takeAll();

    std::size_t size() const { return polls_.size(); }
    bool full() const { return polls_.size() >= kMaxLongPolls; }
    bool waitsForFreshness() const;

private:
    std::map<std::string, LongPoll> polls_;  // by gateway
};

}  // namespace beechpoint::control
