// Fleets drawn from a seed: uneven loads, a few hot slices, some holders that share a site.
#pragma once

#include <cmath>
#include <random>

#include "layout/planner.hpp"

namespace beechpoint::layout::test {

inline Fleet drawnFleet(std::uint64_t seed, std::size_t hosts, std::size_t slices) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };
    Fleet fleet;
    const char* const sites[] = {"north", "middle", "south"};
    double load = 0;
    for (std::size_t s = 0; s < slices; ++s) {
        FleetSlice slice;
        slice.id = static_cast<SliceId>(s);
        slice.load = 1 / std::pow(1 - 0.95 * unit(), 0.7);
        slice.bytes = 1e9 * (0.5 + unit());
        load += slice.load;
        const std::size_t first = below(hosts);
        std::size_t second = (first + 1 + below(hosts - 1)) % hosts;
        if (unit() > 0.02)
            while (second % 3 == first % 3) second = (second + 1) % hosts;
        slice.holders = {first, second};
        if (first == second) slice.holders = {first, (first + 1) % hosts};
        fleet.slices.push_back(slice);
    }
    for (std::size_t h = 0; h < hosts; ++h)
        fleet.hosts.push_back({"h" + std::to_string(h), sites[h % 3],
                               load / static_cast<double>(hosts) * 1.45 * (0.9 + 0.2 * unit())});
    return fleet;
}

}  // namespace beechpoint::layout::test
