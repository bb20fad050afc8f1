/// Records which other members sent a message recently, so that operators are not redirected to one that is down or partitioned. It is
/// not a failure detector: only replica::FailureDetector affects views. Without I/O or clock; not synchronized.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::control {

/// A member that sent no message for longer than this is unresponsive; no operator is redirected to it.
inline constexpr Millis kUnresponsiveAfter = 700;

/// Owns the times of the last messages, of a bounded number of addresses.
class ResponsiveMembers {
public:
    /// Records a message of that member at `now`. If the table is full, unresponsive members are dropped; if it is still full, a new
    /// member is not recorded.
    void onMessage(const std::string& internalAddress, Millis now);
    [[nodiscard]] bool isResponsive(const std::string& internalAddress, Millis now) const;

private:
    void dropUnresponsive(Millis now);

    std::map<std::string, Millis> lastMessageAt_;  // by internal address
};

}  // namespace beechpoint::control
