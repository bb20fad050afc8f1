/// Which hosts are full, partitioned, warming up or reachable, by the results of attempts and health checks. A host whose
/// connection broke, or that can't be connected to, may be dead long before the platform's list says so: it gets nothing
/// until a health check passes.
///
/// | state       | event                              | becomes                                                |
/// | ----------- | ---------------------------------- | ------------------------------------------------------ |
/// | reachable   | connection broken                  | partitioned                                            |
/// | reachable   | no connection, unanswered check    | partitioned and unreachable                            |
/// | partitioned | answer, healthy check              | reachable                                              |
/// | any         | 421: another instance's address    | ended, until it is not listed any more                 |
/// | unreachable | answer, healthy check              | reachable, warming up: it may have been started anew   |
#pragma once

#include <limits>

#include "core/clock.hpp"
#include "dispatch/action_list.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

/// How the contact with a host was lost.
enum class ConnectionFailure {
    reset,         ///< sent, then closed or reset, or a health check that failed with an answer
    notConnected,  ///< it could not be reached at all, and may have to start anew
};

/// Writes the health of hosts into their slots and asks for health checks. Owns only the time of the next check.
class HostHealth {
public:
    HostHealth(HostTable& hosts, ActionList& actions) : hosts_(hosts), actions_(actions) {}

    /// It reports that it is full: it gets nothing for about one mean time of the route. Overload is no fault.
    void markFull(HostSlot& slot, const RouteRecord& route, Millis now);
    /// Contact is lost: health checks begin, at once.
    void markPartitioned(HostSlot& slot, ConnectionFailure failure, Millis now);
    /// Another instance is at its address. Instances never come back, so it gets nothing any more.
    void markEnded(HostSlot& slot, Millis now);
    /// A proper answer or a healthy check came from it.
    void markReachable(HostSlot& slot, Millis now);
    /// It reports that it is warming up. Unknown hosts are ignored.
    void markWarmingUp(const WarmupReported& report, Millis now);
    /// The result of a CheckHealth. Unknown hosts are ignored.
    void healthCheckEnded(const HealthCheckEnded& ended, Millis now);
    /// Checks a host that is unresponsive, unless a check is under way.
    void checkUnresponsive(HostSlot& slot, Millis now);
    /// Checks all partitioned hosts whose next check is due.
    void checkPartitioned(Millis now);
    /// When checkPartitioned() has work next; infinity: no host is partitioned.
    [[nodiscard]] Millis nextCheckAt() const { return nextCheckAt_; }

private:
    void requestHealthCheck(HostSlot& slot, Millis now);

    HostTable& hosts_;
    ActionList& actions_;
    Millis nextCheckAt_ = std::numeric_limits<double>::infinity();
};

}  // namespace beechpoint::dispatch
