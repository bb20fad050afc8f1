#include "dispatch/request_factory.hpp"

#include <algorithm>
#include <string>

namespace beechpoint::dispatch {

namespace {

// Estimates for the cost of transfers between regions.
constexpr double kBytesPerTokenIn = 3;
constexpr double kBytesPerTokenOut = 10;

std::string drawService(const RequestArrived& arrived, double draw) {
    double sum = 0;
    for (const WeightedService& each : arrived.services) sum += std::max(0.0, each.weight);
    double left = draw * sum;
    for (const WeightedService& each : arrived.services) {
        if (each.weight <= 0) continue;
        left -= each.weight;
        if (left < 0) return each.name;
    }
    return {};
}

double promptTokens(const RequestArrived& arrived) {
    double tokens = 0;
    for (const PromptPart& part : arrived.prompt) tokens += part.tokens;
    return std::max<double>(tokens, arrived.promptTokens);
}

double bodyBytes(const RequestArrived& arrived, double tokens) {
    return arrived.bodyBytes > 0 ? static_cast<double>(arrived.bodyBytes) : kBytesPerTokenIn * tokens;
}

}  // namespace

Request makeRequest(const RequestArrived& arrived, double draw, Millis now) {
    Request request;
    request.arrival = arrived;
    request.arrivedAt = now;
    request.latencyTargetAt = now + arrived.latencyTarget;
    request.deadlineAt = now + arrived.deadline;
    request.service = drawService(arrived, draw);
    request.shared = sharedPrefix(arrived.prompt);
    request.promptTokens = promptTokens(arrived);
    request.bytes = bodyBytes(arrived, request.promptTokens) + kBytesPerTokenOut * arrived.maxOutputTokens;
    return request;
}

}  // namespace beechpoint::dispatch
