#include "dispatch/slow_start_budget.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::dispatch {

namespace {

constexpr double kUnknownPart = 1.5;  // gateways there may be for each one known
constexpr double kRankLists = 3;      // lists of gateways in use at once, at most
constexpr int kMaxPerSpan = 256;

}  // namespace

SlowStartShare::SlowStartShare(double bound, int gateways, bool known, int rank) {
    if (!known || bound < 1) return;
    const double all = std::ceil(kUnknownPart * std::max(1, gateways));
    perSpan_ = static_cast<int>(std::min<double>(std::floor(bound / all), kMaxPerSpan));
    if (perSpan_ == 0 && rank >= 0 && rank < std::floor(bound / kRankLists)) perSpan_ = 1;
}

void SlowStartLog::drop(Millis now) {
    while (!sends_.empty() && sends_.front() <= now - SlowStartShare::kSpan) sends_.pop_front();
}

void SlowStartLog::sent(Millis now) {
    drop(now);
    if (sends_.size() >= kMaxSends) sends_.pop_front();
    sends_.push_back(now);
}

bool SlowStartLog::allows(Millis now, const SlowStartShare& share) {
    drop(now);
    return sends_.size() < static_cast<std::size_t>(share.perSpan());
}

Millis SlowStartLog::freeAt(Millis now, const SlowStartShare& share) {
    if (allows(now, share)) return now;
    const auto limit = static_cast<std::size_t>(share.perSpan());
    if (limit == 0) return now + SlowStartShare::kSpan;
    return sends_[sends_.size() - limit] + SlowStartShare::kSpan;
}

}  // namespace beechpoint::dispatch
