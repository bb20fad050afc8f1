/// The attempts in flight, which outlive their requests, and what their results teach about hosts and routes.
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

/// Owns the record of each attempt from its Send to its AttemptEnded. Decides nothing about requests: see AttemptResults.
class AttemptLog {
public:
    AttemptLog(HostTable& hosts, RouteTable& routes, ServiceTable& services, HostHealth& health)
        : hosts_(hosts), routes_(routes), services_(services), health_(health) {}

    /// Attempt `number` of the request is sent to the host (index of the table), which is expected to prefill `tokens`.
    void sent(const Request& request, int number, int host, double tokens, Millis now);
    /// Its first event or byte has come. `request`: nullptr where it has ended. False: no such attempt is in flight.
    [[nodiscard]] bool firstByte(const AttemptFirstByte& first, const Request* request, Millis now);
    /// It has ended and is forgotten. `request` and the result as above.
    [[nodiscard]] bool ended(const AttemptEnded& ended, const Request* request, Millis now);

    /// Attempts in flight.
    [[nodiscard]] std::size_t size() const { return sent_.size(); }

private:
    using Key = std::pair<RequestId, int>;  // request and number of the attempt

    void learn(SentAttempt& sent, Outcome outcome, bool unusable, Millis now);

    HostTable& hosts_;
    RouteTable& routes_;
    ServiceTable& services_;
    HostHealth& health_;
    std::map<Key, SentAttempt> sent_;
};

}  // namespace beechpoint::dispatch
