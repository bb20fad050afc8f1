/// Which run a seed stands for.
#pragma once

#include <cstdint>
#include <vector>

#include "core/splitmix.hpp"
#include "episodes.hpp"

namespace beechpoint::simulation {

inline WorldOptions optionsOf(std::uint64_t seed) {
    constexpr std::size_t kMembers[] = {3, 5, 6};
    WorldOptions options;
    options.seed = seed;
    options.members = kMembers[seed % 3];
    options.gateways = 4 + seed % 9;
    // Every other run has so few seeds that they fit into a minority.
    options.seeds = seed / 3 % 2 == 0 ? 3 : (options.members - 1) / 2;
    return options;
}

using Mix = std::vector<Episode>;

// As many episodes as given, drawn from the mix by the seed.
inline Mix drawnFrom(const Mix& mix, std::size_t count, std::uint64_t seed) {
    SplitMix random(seed * 31 + 7);
    Mix episodes;
    while (episodes.size() < count) episodes.push_back(mix[random.below(mix.size())]);
    return episodes;
}

}  // namespace beechpoint::simulation
