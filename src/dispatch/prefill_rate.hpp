/// How long the model hosts of a service take to prefill, learnt from (tokens, time to the first event) of attempts that
/// were alone at their host: the slope of a line through them, with weights that fall by age, and for each size of prompt by how much
/// the times lie off that line (long prompts take more than in proportion, and what was expected to be cached is not always there).
#pragma once

#include <array>
#include <cstddef>

namespace beechpoint::dispatch {

/// One object a service.
class PrefillRate {
public:
    /// One more measurement; the weight of the earlier ones falls.
    void add(double tokens, double seconds);
    /// Slope of the line.
    [[nodiscard]] double tokensPerSecond() const { return rate_; }
    /// Expected prefill time of so many tokens.
    [[nodiscard]] double seconds(double tokens) const;

private:
    static constexpr double kDefault = 40000;  // tokens a second, until enough has been seen
    double weight_ = 0;
    double tokens_ = 0;
    double time_ = 0;
    double tokensSquared_ = 0;
    double product_ = 0;
    double rate_ = kDefault;

    static constexpr std::size_t kSizes = 8;  // each twice the one before
    static std::size_t sizeOf(double tokens);
    void correct(double tokens, double seconds);
    struct Correction {
        double factor = 1;
        double weight = 4;  // of the 1 that is assumed
    };
    std::array<Correction, kSizes> corrections_{};
};

}  // namespace beechpoint::dispatch
