#include "dispatch/request_arrivals.hpp"

#include <fmt/format.h>

#include <utility>

#include "dispatch/admission_forecast.hpp"
#include "dispatch/request_factory.hpp"

namespace beechpoint::dispatch {

namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

void RequestArrivals::handle(const RequestArrived& arrived) {
    if (requests_.contains(arrived.id)) return;
    Request request = makeRequest(arrived, state_.random(), state_.now);
    if (const auto reject = rejection(request)) {
        state_.actions.add(*reject);
        return;
    }
    initialSend_.send(requests_.add(std::move(request)));
    checks_.schedule(arrived.id);
}

std::optional<Reject> RequestArrivals::rejection(const Request& request) {
    const RequestArrived& arrival = request.arrival;
    if (request.service.empty()) return Reject{arrival.id, kServiceUnavailable, 0, RejectReason::noService};
    if (arrival.deadline <= 0)
        return Reject{arrival.id, kServiceUnavailable, 0, RejectReason::deadlinePassed};

    sender_.requestArrived(request);
    if (requests_.size() >= state_.settings.maxRequests) {
        state_.actions.log("request limit reached",
                           fmt::format("{} requests are pending or in flight", requests_.size()));
        return Reject{arrival.id, kServiceUnavailable, retryAfter(0, arrival.deadline),
                      RejectReason::requestLimit};
    }
    const AdmissionDecision decision = admission(request);
    if (decision.admitted) return std::nullopt;
    state_.actions.log("rejected by admission", fmt::format("route {}: every host is busy", arrival.route));
    return Reject{arrival.id, kServiceUnavailable, decision.retryAfter, RejectReason::admission};
}

AdmissionDecision RequestArrivals::admission(const Request& request) {
    if (!state_.isEnabled(Mechanism::admission)) return {};
    const ServiceState& service = state_.serviceOf(request);
    const RouteRecord& route = state_.routeOf(request);
    return admit(
        forecast(request, state_.hosts, state_.selection.allowed(request), route, service, state_.now));
}

}  // namespace beechpoint::dispatch
