/// Polls of gateways that wait for an update: at most one for each gateway.
///
/// Decides which of them are to be answered; what they are answered with is PollResponder's part. Free of I/O. Owned by GatewayServiceState.
///
///   this member's table is | a poll is to be answered
///   fresh                  | with an update; at the end of its wait; when it arrived while the table was not fresh
///   not fresh              | kNotFreshWait after that was first noticed, so that the gateway asks another member
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control_messages/messages.hpp"

namespace beechpoint::control {

/// Identifies a poll to the caller that received it and sends its answer.
using PollTicket = std::uint64_t;

inline constexpr std::size_t kMaxLongPolls = 512;
/// How long a poll waits for this member's table to become fresh. Milliseconds.
inline constexpr Millis kNotFreshWait = 300;

/// Whether this member may answer from its table (replica::Replica::isFresh()).
enum class Freshness { fresh, notFresh };

struct LongPoll {
    PollRequest request;
    PollTicket ticket = 0;
    Millis deadline = 0;                ///< end of the wait that the gateway asked for
    bool arrivedWhileNotFresh = false;  ///< answered as soon as the table is fresh, update or not
    std::optional<Millis> refuseAt;     ///< while the table is not fresh; nothing: it was when last checked
};

class LongPolls {
public:
    using HasUpdate = std::function<bool(const PollRequest&)>;

    /// An earlier poll of the same gateway must have been taken out by take().
    /// @param wait milliseconds
    void add(Millis now, PollRequest request, PollTicket ticket, Millis wait, Freshness freshness);

    /// Takes out the poll of that gateway, if there is one.
    [[nodiscard]] std::optional<LongPoll> take(const std::string& gateway);

    /// Takes out those that are to be answered now, by gateway.
    /// @param ahead milliseconds; waits that end within it count as over
    [[nodiscard]] std::vector<LongPoll> takeAnswerable(Millis now, Freshness freshness, Millis ahead,
                                                       const HasUpdate& hasUpdate);
    [[nodiscard]] std::vector<LongPoll> takeAll();

    [[nodiscard]] std::size_t size() const { return polls_.size(); }
    [[nodiscard]] bool full() const { return polls_.size() >= kMaxLongPolls; }
    /// Whether a poll waits for the table to become fresh: that is to be checked often.
    [[nodiscard]] bool waitsForFreshness() const;

private:
    std::map<std::string, LongPoll> polls_;  // by gateway
};

}  // namespace beechpoint::control
