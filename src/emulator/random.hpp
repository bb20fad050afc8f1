// Random numbers that are a pure function of (seed, purpose, subject, index): Philox4x32-10 of Random123
// (Salmon et al., "Parallel random numbers: as easy as 1, 2, 3", SC 2011). No draw depends on how many draws
// somebody else made, so one host's traffic can't change another host's luck.
#pragma once

#include <Random123/philox.h>

#include <cmath>
#include <cstdint>
#include <numbers>

namespace beechpoint::emulator {

enum class Purpose : std::uint32_t {  // the numbers are part of what a seed means: add at the end only
    hostSpeed = 1,
    pauseEvery,
    pauseLength,
    pausePhase,
    reportEvery,
    reportDelay,
    reportPhase,
    reportNoise,
    partFails,
    partWork,
    partShare,
    value,
    hostId,
    arrival,
    key,
    partCount,
    site,
    tryTime,
    retry,
    retryWait,
    honours,
    costly,
    delay,
    listLag,
    frontNotice,
    gathererSeed
};

class Draw {
public:
    Draw(std::uint64_t seed, Purpose purpose, std::uint64_t subject)
        : key_{{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)}},
          purpose_(purpose),
          subject_(subject) {}

    std::uint64_t bits(std::uint64_t index) const {
        const r123::Philox4x32::ctr_type counter = {
            {static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(purpose_),
             static_cast<std::uint32_t>(subject_),
             static_cast<std::uint32_t>(subject_ >> 32) ^ static_cast<std::uint32_t>(index >> 32)}};
        const auto block = r123::Philox4x32()(counter, key_);
        return static_cast<std::uint64_t>(block[0]) << 32 | block[1];
    }
    double unit(std::uint64_t index) const {  // in [0, 1)
        return static_cast<double>(bits(index) >> 11) * 0x1p-53;
    }
    double between(double from, double to, std::uint64_t index) const {
        return from + (to - from) * unit(index);
    }
    double normal(std::uint64_t index) const {  // Box and Muller; mean 0, deviation 1
        const double u = 1 - unit(2 * index), v = unit(2 * index + 1);
        return std::sqrt(-2 * std::log(u)) * std::cos(2 * std::numbers::pi * v);
    }

private:
    r123::Philox4x32::key_type key_;
    Purpose purpose_;
    std::uint64_t subject_;
};

}  // namespace beechpoint::emulator
