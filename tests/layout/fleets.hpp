// Seeded random fleets with uneven loads, a few hot slices and some slices whose holders share a site.
#pragma once

#include <cmath>
#include <random>

#include "layout/planner.hpp"

namespace beechpoint::layout::test {

inline Fleet randomFleet(std::uint64_t seed, std::size_t hosts, std::size_t slices) {
    std::mt19937_64 random(seed);
    const auto randomBelow = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    const auto randomUnit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    Fleet fleet;
    const char* const sites[] = {"north", "middle", "south"};
    double totalLoad = 0;
    for (std::size_t s = 0; s < slices; ++s) {
        FleetSlice slice;
        slice.id = static_cast<SliceId>(s);
        slice.load = 1 / std::pow(1 - 0.95 * randomUnit(), 0.7);
        slice.bytes = 1e9 * (0.5 + randomUnit());
        totalLoad += slice.load;
        const std::size_t first = randomBelow(hosts);
        std::size_t second = (first + 1 + randomBelow(hosts - 1)) % hosts;
        if (randomUnit() > 0.02)
            while (second % 3 == first % 3) second = (second + 1) % hosts;
        slice.holders = {first, second};
        if (first == second) slice.holders = {first, (first + 1) % hosts};
        fleet.slices.push_back(slice);
    }
    for (std::size_t h = 0; h < hosts; ++h)
        fleet.hosts.push_back({"h" + std::to_string(h), sites[h % 3],
                               totalLoad / static_cast<double>(hosts) * 1.45 * (0.9 + 0.2 * randomUnit())});
    return fleet;
}

}  // namespace beechpoint::layout::test
