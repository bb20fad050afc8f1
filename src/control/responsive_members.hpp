/// Which other members sent a message recently, so that operators are not redirected to one that is down or partitioned off. It is no
/// failure detector: views are decided by replica::FailureDetector alone. Free of I/O and clocks; not synchronized.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/clock.hpp"

namespace beechpoint::control {

/// A member from which nothing came for longer is unresponsive; no operator is redirected to it.
inline constexpr Millis kUnresponsiveAfter = 700;

/// Owns the times of the last messages, of a bounded number of addresses.
class ResponsiveMembers {
public:
    /// A message of that member came at `now`. Where too many are known, unresponsive ones are dropped; a new one that still finds no
    /// room is not recorded.
    void onMessage(const std::string& internalAddress, Millis now);
    [[nodiscard]] bool isResponsive(const std::string& internalAddress, Millis now) const;

private:
    void dropUnresponsive(Millis now);

    std::map<std::string, Millis> lastMessageAt_;  // by internal address
};

}  // namespace beechpoint::control
