#include "gateway/drain_timeline.hpp"

#include <algorithm>

namespace beechpoint::gateway {

DrainTimeline::DrainTimeline(const DrainSettings& settings)
    : leavingFor_(std::min(
          {settings.directoryTtl + kDirectoryLag, kMaxLeaving, kMaxLeavingFraction * settings.grace})),
      endsAfter_(std::max(settings.grace - kBeforeKill, kMaxLeavingFraction * settings.grace)) {
    mayEndAfter_ = std::clamp(settings.seedLag + kLagMargin, leavingFor_, endsAfter_);
}

void DrainTimeline::begin(Millis now) {
    if (begun_) return;
    begun_ = true;
    beganAt_ = now;
}

DrainTimeline::Phase DrainTimeline::phase(Millis now) const {
    if (!begun_) return Phase::serving;
    const Millis passed = now - beganAt_;
    if (passed < leavingFor_) return Phase::leaving;
    return passed < endsAfter_ ? Phase::finishing : Phase::ended;
}

bool DrainTimeline::accepts(Millis now, Millis mayLast) const {
    if (listens(now)) return true;
    return now - beganAt_ + mayLast <= endsAfter_;
}

bool DrainTimeline::ends(Millis now, bool busy) const {
    if (!begun_) return false;
    const Millis passed = now - beganAt_;
    return passed >= (busy ? endsAfter_ : mayEndAfter_);
}

}  // namespace beechpoint::gateway
