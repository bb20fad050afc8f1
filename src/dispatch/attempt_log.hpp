/// Tracks attempts in flight, which may outlive their requests, and updates host and route statistics from
/// their results.
#pragma once

#include <map>
#include <utility>

#include "core/clock.hpp"
#include "dispatch/host_health.hpp"
#include "dispatch/host_table.hpp"
#include "dispatch/messages.hpp"
#include "dispatch/predictor.hpp"
#include "dispatch/request.hpp"
#include "dispatch/route_table.hpp"
#include "dispatch/service_table.hpp"

namespace beechpoint::dispatch {

/// Owns the record of each attempt from its Send to its AttemptEnded. Decisions about requests are made in
/// AttemptResults.
class AttemptLog {
public:
    AttemptLog(HostTable& hosts, RouteTable& routes, ServiceTable& services, HostHealth& health)
        : hosts_(hosts), routes_(routes), services_(services), health_(health) {}

    /// Attempt `number` of the request is sent to the host (index in the table), which is expected to prefill
    /// `tokens`.
    void recordSend(const Request& request, int number, int host, double tokens, Millis now);
    /// Its first event or byte was received. `request`: nullptr if it has ended. False: no such attempt is in
    /// flight.
    [[nodiscard]] bool recordFirstByte(const AttemptFirstByte& first, const Request* request, Millis now);
    /// The attempt ended; removes its record. `request` and the result as above.
    [[nodiscard]] bool recordEnd(const AttemptEnded& ended, const Request* request, Millis now);

    /// Attempts in flight.
    [[nodiscard]] std::size_t size() const { return inFlight_.size(); }

private:
    using Key = std::pair<RequestId, int>;  // request and attempt number

    void updateStatistics(SentAttempt& sent, Outcome outcome, bool unusable, Millis now);

    HostTable& hosts_;
    RouteTable& routes_;
    ServiceTable& services_;
    HostHealth& health_;
    std::map<Key, SentAttempt> inFlight_;
};

}  // namespace beechpoint::dispatch
