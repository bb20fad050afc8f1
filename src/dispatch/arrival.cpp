#include "dispatch/arrival.hpp"

#include <algorithm>
#include <limits>
#include <string>

#include "dispatch/predictor.hpp"

namespace beechpoint::dispatch {

namespace {

// Guesses, for what a request costs between regions.
constexpr double kBytesPerTokenIn = 3;
constexpr double kBytesPerTokenOut = 10;

std::string drawService(const RequestArrived& arrived, double draw) {
    double sum = 0;
    for (const WeightedService& each : arrived.services) sum += std::max(0.0, each.weight);
    double left = draw * sum;
    for (const WeightedService& each : arrived.services) {
        if (each.weight <= 0) continue;
        if ((left -= each.weight) < 0) return each.name;
    }
    return {};
}

}  // namespace

Request newRequest(const RequestArrived& arrived, double draw, Millis now) {
    Request request;
    request.asked = arrived;
    request.arrivedAt = now;
    request.latencyTargetAt = now + arrived.latencyTarget;
    request.deadlineAt = now + arrived.deadline;
    request.service = drawService(arrived, draw);
    request.shared = sharedPrefix(arrived.prompt);
    double tokens = 0;
    for (const PromptPart& part : arrived.prompt) tokens += part.tokens;
    request.promptTokens = std::max<double>(tokens, arrived.promptTokens);
    const double body = arrived.bodyBytes > 0 ? static_cast<double>(arrived.bodyBytes)
                                              : kBytesPerTokenIn * request.promptTokens;
    request.bytes = body + kBytesPerTokenOut * arrived.outTokens;
    return request;
}

Outlook outlookOf(const Request& request, const HostTable& hosts, const std::vector<int>& allowed,
                  const RouteRecord& route, const ServiceState& service, Millis now) {
    Outlook result{std::numeric_limits<double>::infinity(), 0, request.asked.latencyTarget,
                   request.asked.deadline, request.asked.priorityClass};
    double taken = 0, places = 0;
    for (const int i : allowed) {
        const HostSlot& slot = hosts.at(i);
        const double capacity = std::max(1, slot.host.capacity);
        const bool full = now < slot.fullUntil;
        places += capacity;
        taken += full ? capacity : std::min(capacity, 1.0 * slot.out * service.load.gateways);
        const Millis wait = 1000 * Predictor::timeS(slot, route, service.load, 0, now);
        result.wait = std::min(result.wait, full ? std::max(wait, slot.fullUntil - now) : wait);
    }
    if (places > 0) result.takenShare = taken / places;
    return result;
}

}  // namespace beechpoint::dispatch
