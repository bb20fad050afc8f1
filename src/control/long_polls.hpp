/// Polls of gateways that wait for an update: at most one for each gateway.
///
/// Selects the polls to answer; PollResponder builds the answers. Without I/O. Owned by GatewayServiceState.
///
///   this member's table is | a poll is answered
///   fresh                  | with an update; at the end of its wait; when it arrived while the table was not fresh
///   not fresh              | kNotFreshWait after that was first detected, so that the gateway switches to another member
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
    Millis deadline = 0;                ///< end of the wait that the gateway requested
    bool arrivedWhileNotFresh = false;  ///< answered as soon as the table is fresh, even without an update
    std::optional<Millis> refuseAt;     ///< set while the table is not fresh
};

class LongPolls {
public:
    using HasUpdate = std::function<bool(const PollRequest&)>;

    /// An earlier poll of the same gateway must have been taken out by take().
    /// @param wait milliseconds
    void add(Millis now, PollRequest request, PollTicket ticket, Millis wait, Freshness freshness);

    /// Removes and returns the poll of that gateway, if any.
    [[nodiscard]] std::optional<LongPoll> take(const std::string& gateway);

    /// Removes and returns the polls to answer now, ordered by gateway.
    /// @param ahead milliseconds; waits that end within this time count as expired
    [[nodiscard]] std::vector<LongPoll> takeAnswerable(Millis now, Freshness freshness, Millis ahead,
                                                       const HasUpdate& hasUpdate);
    [[nodiscard]] std::vector<LongPoll> takeAll();

    [[nodiscard]] std::size_t size() const { return polls_.size(); }
    [[nodiscard]] bool full() const { return polls_.size() >= kMaxLongPolls; }
    /// Whether a poll waits for the table to become fresh, which must then be checked often.
    [[nodiscard]] bool waitsForFreshness() const;

private:
    std::map<std::string, LongPoll> polls_;  // by gateway
};

}  // namespace beechpoint::control
