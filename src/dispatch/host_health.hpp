/// Tracks which hosts are full, partitioned, warming up or reachable, from the results of attempts and health
/// checks. A host may fail long before the platform's list shows it, so a host whose connection broke or
/// could not be opened gets no requests until a health check passes.
///
/// | state       | event                              | next state                                             |
/// | ----------- | ---------------------------------- | ------------------------------------------------------ |
/// | reachable   | connection broken                  | partitioned                                            |
/// | reachable   | failed connect, unanswered check   | partitioned and unreachable                            |
/// | partitioned | answer, healthy check              | reachable                                              |
/// | any         | 421: another instance's address    | ended, until it is no longer listed                    |
/// | unreachable | answer, healthy check              | reachable and warming up: it may have restarted        |
#pragma once

#include <limits>

#include "core/clock.hpp"
#include "dispatch/action_list.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

/// How the connection to a host failed.
enum class ConnectionFailure {
    reset,         ///< closed or reset after a send, or an answered health check that failed
    notConnected,  ///< no connection could be opened; the host may be restarting
};

/// Writes the health of hosts into their slots and requests health checks. Owns only the time of the next
/// check.
class HostHealth {
public:
    HostHealth(HostTable& hosts, ActionList& actions) : hosts_(hosts), actions_(actions) {}

    /// The host reported that it is full: pauses sends to it for about the route's mean time. Not counted as
    /// a failure.
    void markFull(HostSlot& slot, const RouteRecord& route, Millis now);
    /// The connection failed: starts health checks at once.
    void markPartitioned(HostSlot& slot, ConnectionFailure failure, Millis now);
    /// Another instance is at its address. Instances never return, so nothing more is sent to it.
    void markEnded(HostSlot& slot, Millis now);
    /// The host sent a usable answer or passed a health check.
    void markReachable(HostSlot& slot, Millis now);
    /// The host reported that it is warming up. Unknown hosts are ignored.
    void markWarmingUp(const WarmupReported& report, Millis now);
    /// The result of a CheckHealth. Unknown hosts are ignored.
    void healthCheckEnded(const HealthCheckEnded& ended, Millis now);
    /// Checks an unresponsive host, unless a check is in flight.
    void checkUnresponsive(HostSlot& slot, Millis now);
    /// Checks all partitioned hosts whose next check is due.
    void checkPartitioned(Millis now);
    /// When the next check of a partitioned host is due; infinity: no host is partitioned.
    [[nodiscard]] Millis nextCheckAt() const { return nextCheckAt_; }

private:
    void requestHealthCheck(HostSlot& slot, Millis now);

    HostTable& hosts_;
    ActionList& actions_;
    Millis nextCheckAt_ = std::numeric_limits<double>::infinity();
};

}  // namespace beechpoint::dispatch
