#include "dispatch/admission_forecast.hpp"

#include <algorithm>
#include <limits>

#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

AdmissionForecast forecast(const Request& request, const HostTable& hosts, const std::vector<int>& allowed,
                           const RouteRecord& route, const ServiceState& service, Millis now) {
    AdmissionForecast result;
    result.wait = std::numeric_limits<double>::infinity();
    result.latencyTarget = request.arrival.latencyTarget;
    result.deadline = request.arrival.deadline;
    result.priorityClass = request.arrival.priorityClass;
    double used = 0;
    double total = 0;
    for (const int i : allowed) {
        const HostSlot& slot = hosts.at(i);
        const double capacity = std::max(1, slot.host.capacity);
        const bool full = now < slot.fullUntil;
        total += capacity;
        used += full ? capacity : std::min(capacity, 1.0 * slot.inFlight * service.load.gateways);
        const Millis wait = 1000 * Predictor::timeS(slot, route, service.load, 0, now);
        result.wait = std::min(result.wait, full ? std::max(wait, slot.fullUntil - now) : wait);
    }
    if (total > 0) result.utilization = used / total;
    return result;
}

}  // namespace beechpoint::dispatch
