// How fast the model hosts of a service read prompts, learnt from (tokens read, time to the first event) of attempts
// that were alone at their host: the slope of a line through them, with weights that fall by age.
#pragma once

namespace beechpoint::dispatch {

class ReadingRate {
public:
    void add(double tokens, double seconds);
    double tokensPerSecond() const { return rate_; }

private:
    static constexpr double kDefault = 40000;  // tokens a second, until enough has been seen
    double weight_ = 0, tokens_ = 0, time_ = 0, tokensSquared_ = 0, product_ = 0;
    double rate_ = kDefault;
};

}  // namespace beechpoint::dispatch
