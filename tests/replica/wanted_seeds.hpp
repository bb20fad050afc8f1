// The seeds that a simulation plays: those of REPLICA_FIRST_SEED and REPLICA_SEEDS, else the first ones.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace beechpoint::replica::simulation {

struct WantedSeeds {
    std::uint64_t first = 1;
    std::uint64_t count = 0;
};

inline WantedSeeds wantedSeeds(std::uint64_t count) {
    WantedSeeds seeds{1, count};
    if (const char* const first = std::getenv("REPLICA_FIRST_SEED"))
        seeds.first = std::strtoull(first, nullptr, 10);
    if (const char* const wanted = std::getenv("REPLICA_SEEDS"))
        seeds.count = std::strtoull(wanted, nullptr, 10);
    return seeds;
}

}  // namespace beechpoint::replica::simulation
