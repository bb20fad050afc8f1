// Faults of a run: one episode after another, each struck at a moment that is drawn, then mended, then all must come back.
#pragma once

#include <string>
#include <vector>

#include "world.hpp"

namespace beechpoint::simulation {

enum class Episode {
    kill,
    power,
    wipe,
    freeze,
    cutAlone,         // one member, about 20 s, from the others; by draw from gateways and operators as well
    cutWithGateways,  // a minority of the members with some of the gateways
    cutWithSeeds,    // a minority that has all seeds, with gateways that are started anew and know only these
    replacePlanned,  // the new member first, then the old one leaves
    replaceLost,
    killAfterYes,  // right after an acknowledgement
    wipeAfterYes,
    lossDuringRepair,  // a second one stops as a view comes that mends the first loss
    allAtOnce,
    diskLostBehind,  // a minority misses changes; another member loses its disk, the rest are dark, and the cut heals
};
inline constexpr std::size_t kEpisodes = 14;
std::string nameOf(Episode episode);

// Plays the episodes with the operators at work; stops at the first failure of the world.
void playEpisodes(World& world, const std::vector<Episode>& episodes);

// The whole run of one seed: start, episodes, end, checks.
void playRun(World& world, const std::vector<Episode>& episodes);

}  // namespace beechpoint::simulation
