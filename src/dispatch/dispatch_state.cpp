#include "dispatch/dispatch_state.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::dispatch {

namespace {

constexpr double kHeadroomFraction = 0.25;  // of the latency target; above it, all hosts are slow

}  // namespace

DispatchState::DispatchState(Settings given, std::uint64_t seed, Millis startedAt)
    : settings(std::move(given)),
      random(seed),
      now(startedAt),
      services(settings, startedAt),
      selection(settings, hosts),
      health(hosts, actions),
      attempts(hosts, routes, services, health),
      reportedLoad(hosts) {}

ServiceState& DispatchState::serviceOf(const Request& request) { return services.use(request.service, now); }

RouteRecord& DispatchState::routeOf(const Request& request) {
    RouteRecord& record = routes.use(request.arrival.route, now);
    record.latencyTarget = std::max(1.0, request.arrival.latencyTarget);
    return record;
}

std::vector<coordinator::policy::Scored> DispatchState::ranked(const Request& request) {
    return selection.ranked(request, routeOf(request), serviceOf(request), now);
}

bool DispatchState::hasLatencyHeadroom(const Request& request) {
    return routeOf(request).timeS(now) * 1000 <= kHeadroomFraction * request.arrival.latencyTarget;
}

}  // namespace beechpoint::dispatch
