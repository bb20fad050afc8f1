// Jitter and draws of state machines: SplitMix64 (Steele, Lea, Flood, 2014), from a seed that is handed in, so that a run
// can be played again. Eight bytes of state: there is one in each machine of each of hundreds of members in one test.
#pragma once

#include <cstddef>
#include <cstdint>

namespace beechpoint {

class SplitMix {
public:
    explicit SplitMix(std::uint64_t seed) : state_(seed) {}

    std::uint64_t bits() {
        std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31);
    }
    double operator()() { return static_cast<double>(bits() >> 11) * 0x1.0p-53; }  // in [0, 1)
    std::size_t below(std::size_t n) { return static_cast<std::size_t>((*this)() * static_cast<double>(n)); }

private:
    std::uint64_t state_;
};

}  // namespace beechpoint
