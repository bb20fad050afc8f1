// The attempts whose end is owed, which outlive their requests, and what their ends teach about hosts and routes.
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

class AttemptLog {
public:
    AttemptLog(HostTable& hosts, RouteTable& routes, ServiceTable& services, HostHealth& health)
        : hosts_(hosts), routes_(routes), services_(services), health_(health) {}

    // An attempt of the request goes out to a host that has to read so many tokens for it.
    void sent(const Request& request, int number, int host, double tokens, Millis now);
    // Its first event or byte has come. False: nothing is known of such an attempt. `request`: nullptr where it is over.
    bool firstByte(const AttemptFirstByte& first, const Request* request, Millis now);
    // It has ended, and is known no more. `request` and the result as above.
    bool ended(const AttemptEnded& ended, const Request* request, Millis now);

    std::size_t size() const { return sent_.size(); }

private:
    using Key = std::pair<RequestId, int>;

    void learn(SentAttempt& sent, Outcome outcome, bool unusable, Millis now);

    HostTable& hosts_;
    RouteTable& routes_;
    ServiceTable& services_;
    HostHealth& health_;
    std::map<Key, SentAttempt> sent_;
};

}  // namespace beechpoint::dispatch
