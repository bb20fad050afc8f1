#include "dispatch/slow_start_budget.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::dispatch {

namespace {

constexpr double kUnknownGatewayFactor = 1.5;  // assumed gateways per known gateway
constexpr double kMaxConcurrentLists = 3;      // gateway lists in use at once
constexpr int kMaxPerSpan = 256;

}  // namespace

SlowStartShare::SlowStartShare(double bound, int gateways, bool known, int rank) {
    if (!known || bound < 1) return;
    const double assumedGateways = std::ceil(kUnknownGatewayFactor * std::max(1, gateways));
    perSpan_ = static_cast<int>(std::min<double>(std::floor(bound / assumedGateways), kMaxPerSpan));
    if (perSpan_ == 0 && rank >= 0 && rank < std::floor(bound / kMaxConcurrentLists)) perSpan_ = 1;
}

void SlowStartLog::dropExpired(Millis now) {
    while (!sends_.empty() && sends_.front() <= now - SlowStartShare::kSpan) sends_.pop_front();
}

void SlowStartLog::recordSend(Millis now) {
    dropExpired(now);
    if (sends_.size() >= kMaxSends) sends_.pop_front();
    sends_.push_back(now);
}

bool SlowStartLog::allows(Millis now, const SlowStartShare& share) {
    dropExpired(now);
    return sends_.size() < static_cast<std::size_t>(share.perSpan());
}

Millis SlowStartLog::nextAllowedAt(Millis now, const SlowStartShare& share) {
    if (allows(now, share)) return now;
    const auto limit = static_cast<std::size_t>(share.perSpan());
    if (limit == 0) return now + SlowStartShare::kSpan;
    return sends_[sends_.size() - limit] + SlowStartShare::kSpan;
}

}  // namespace beechpoint::dispatch
