// A seed from the system's source of randomness: for what must differ at each start of a process.
#pragma once

#include <cstdint>
#include <random>

namespace beechpoint {

inline std::uint64_t drawSeed() {
    std::random_device device;
    const std::uint64_t high = device();
    return high << 32 | device();
}

}  // namespace beechpoint
