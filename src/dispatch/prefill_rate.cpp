#include "dispatch/prefill_rate.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::dispatch {

namespace {

constexpr double kDecay = 0.99;              // factor of the earlier weights at each measurement
constexpr double kMinWeight = 30;            // total weight below which the fit is not used
constexpr double kMinTokenDeviation = 500;   // standard deviation; below it the slope is undetermined
constexpr double kFirstBucketTokens = 512;   // smaller prompts share one bucket
constexpr double kMaxCorrectionWeight = 60;  // a new measurement has at least 1/60 of the weight
constexpr double kMinFactor = 0.3;
constexpr double kMaxFactor = 4;
constexpr double kMinRate = 5000;  // tokens per second
constexpr double kMaxRate = 400000;

}  // namespace

void PrefillRate::add(double tokens, double seconds) {
    weight_ = weight_ * kDecay + 1;
    tokens_ = tokens_ * kDecay + tokens;
    seconds_ = seconds_ * kDecay + seconds;
    tokensSquared_ = tokensSquared_ * kDecay + tokens * tokens;
    tokenSeconds_ = tokenSeconds_ * kDecay + tokens * seconds;
    if (weight_ < kMinWeight) return;
    const double variance = tokensSquared_ / weight_ - tokens_ * tokens_ / (weight_ * weight_);
    if (variance < kMinTokenDeviation * kMinTokenDeviation) return;
    const double covariance = tokenSeconds_ / weight_ - tokens_ * seconds_ / (weight_ * weight_);
    rate_ = std::clamp(variance / std::max(covariance, variance / kMaxRate), kMinRate, kMaxRate);
    correct(tokens, seconds);
}

std::size_t PrefillRate::bucketOf(double tokens) {
    if (tokens < kFirstBucketTokens) return 0;
    const auto doublings = static_cast<std::size_t>(std::log2(tokens / kFirstBucketTokens));
    return std::min(kBuckets - 1, 1 + doublings);
}

double PrefillRate::seconds(double tokens) const {
    return tokens / rate_ * corrections_[bucketOf(tokens)].factor;
}

// The fitted time for 0 tokens is the time of a request without prefill.
void PrefillRate::correct(double tokens, double seconds) {
    const std::size_t bucket = bucketOf(tokens);
    if (bucket == 0) return;
    const double baseline = std::max(0.0, (seconds_ - tokens_ / rate_) / weight_);
    const double deviation = std::clamp((seconds - baseline) * rate_ / tokens, kMinFactor, kMaxFactor);
    Correction& correction = corrections_[bucket];
    correction.weight = std::min(kMaxCorrectionWeight, correction.weight + 1);
    correction.factor += (deviation - correction.factor) / correction.weight;
}

}  // namespace beechpoint::dispatch
