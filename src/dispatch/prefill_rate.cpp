#include "dispatch/prefill_rate.hpp"

#include <algorithm>
#include <cmath>

namespace beechpoint::dispatch {

namespace {

constexpr double kDecay = 0.99;     // of the weight of the past, at each addition
constexpr double kLeast = 30;       // before so much weight the line is not trusted
constexpr double kSpread = 500;     // tokens, standard deviation: with less the slope is not determined
constexpr double kFirstSize = 512;  // tokens; smaller prompts are all alike
constexpr double kMaxWeight = 60;   // of a correction: later ones count at least 1 in so many
constexpr double kMinFactor = 0.3;
constexpr double kMaxFactor = 4;
constexpr double kSlowest = 5000;  // tokens a second
constexpr double kFastest = 400000;

}  // namespace

void PrefillRate::add(double tokens, double seconds) {
    weight_ = weight_ * kDecay + 1;
    tokens_ = tokens_ * kDecay + tokens;
    time_ = time_ * kDecay + seconds;
    tokensSquared_ = tokensSquared_ * kDecay + tokens * tokens;
    product_ = product_ * kDecay + tokens * seconds;
    if (weight_ < kLeast) return;
    const double variance = tokensSquared_ / weight_ - tokens_ * tokens_ / (weight_ * weight_);
    if (variance < kSpread * kSpread) return;
    const double covariance = product_ / weight_ - tokens_ * time_ / (weight_ * weight_);
    rate_ = std::clamp(variance / std::max(covariance, variance / kFastest), kSlowest, kFastest);
    correct(tokens, seconds);
}

std::size_t PrefillRate::sizeOf(double tokens) {
    if (tokens < kFirstSize) return 0;
    const auto doublings = static_cast<std::size_t>(std::log2(tokens / kFirstSize));
    return std::min(kSizes - 1, 1 + doublings);
}

double PrefillRate::seconds(double tokens) const {
    return tokens / rate_ * corrections_[sizeOf(tokens)].factor;
}

// The line's value for no tokens is what a request takes without prefill.
void PrefillRate::correct(double tokens, double seconds) {
    const std::size_t size = sizeOf(tokens);
    if (size == 0) return;
    const double without = std::max(0.0, (time_ - tokens_ / rate_) / weight_);
    const double off = std::clamp((seconds - without) * rate_ / tokens, kMinFactor, kMaxFactor);
    Correction& correction = corrections_[size];
    correction.weight = std::min(kMaxWeight, correction.weight + 1);
    correction.factor += (off - correction.factor) / correction.weight;
}

}  // namespace beechpoint::dispatch
