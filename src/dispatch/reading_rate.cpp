#include "dispatch/reading_rate.hpp"

#include <algorithm>

namespace beechpoint::dispatch {

namespace {

constexpr double kKeep = 0.99;                        // of the weight of the past, at each addition
constexpr double kLeast = 30;                         // weights of so many say something
constexpr double kSpread = 500;                       // tokens, standard deviation: less tells no slope
constexpr double kSlowest = 5000, kFastest = 400000;  // tokens a second

}  // namespace

void ReadingRate::add(double tokens, double seconds) {
    weight_ = weight_ * kKeep + 1;
    tokens_ = tokens_ * kKeep + tokens;
    time_ = time_ * kKeep + seconds;
    tokensSquared_ = tokensSquared_ * kKeep + tokens * tokens;
    product_ = product_ * kKeep + tokens * seconds;
    if (weight_ < kLeast) return;
    const double variance = tokensSquared_ / weight_ - tokens_ * tokens_ / (weight_ * weight_);
    if (variance < kSpread * kSpread) return;
    const double covariance = product_ / weight_ - tokens_ * time_ / (weight_ * weight_);
    rate_ = std::clamp(variance / std::max(covariance, variance / kFastest), kSlowest, kFastest);
}

}  // namespace beechpoint::dispatch
