/// Estimates the prefill time of a service's model servers from (tokens, time to the first event) of attempts
/// that were alone at their host: a linear fit with weights that decay with age, and a correction factor per
/// bucket of prompt sizes. The corrections are needed because long prompts take more than proportional time,
/// and because tokens that were expected to be cached sometimes are not.
#pragma once

#include <array>
#include <cstddef>

namespace beechpoint::dispatch {

/// One per service.
class PrefillRate {
public:
    /// Adds a measurement; the weights of the earlier ones decay.
    void add(double tokens, double seconds);
    /// Slope of the fit.
    [[nodiscard]] double tokensPerSecond() const { return rate_; }
    /// Expected prefill time of `tokens`.
    [[nodiscard]] double seconds(double tokens) const;

private:
    static constexpr double kDefaultRate = 40000;  // tokens per second, until there are enough measurements
    double weight_ = 0;
    double tokens_ = 0;
    double seconds_ = 0;
    double tokensSquared_ = 0;
    double tokenSeconds_ = 0;
    double rate_ = kDefaultRate;

    static constexpr std::size_t kBuckets = 8;  // each covers twice the prompt size of the one before
    static std::size_t bucketOf(double tokens);
    void correct(double tokens, double seconds);
    struct Correction {
        double factor = 1;
        double weight = 4;  // of the initial factor 1
    };
    std::array<Correction, kBuckets> corrections_{};
};

}  // namespace beechpoint::dispatch
