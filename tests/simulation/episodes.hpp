/// Faults of a run: one episode after another, each injected at a moment that is drawn, then healed; then all must recover.
#pragma once

#include <string>
#include <vector>

#include "world.hpp"

namespace beechpoint::simulation {

enum class Episode {
    kill,
    powerLoss,
    diskLoss,
    freeze,
    partitionOneMember,  // about 20 s, from the others; by draw from gateways and operators as well
    partitionMinority,   // a minority of the members with some of the gateways
    partitionMinorityWithSeeds,  // a minority that has all seeds, with gateways that are restarted and know only these
    replacePlanned,              // the new member first, then the old one leaves
    replaceLost,
    killAfterAcknowledgement,  // right after an acknowledgement
    diskLossAfterAcknowledgement,
    lossDuringRecovery,  // a second member stops as the view changes after the first loss
    allAtOnce,
    diskLossOutsidePartition,  // a minority misses changes; another member loses its disk, the rest are without power, and the partition heals
    diskLossAsAllLosePower,  // right after an acknowledgement one member loses its disk, and all other machines, gateways too, lose power
    overlapThenLoss,  // restarts and suspensions that overlap, then the loss of one member while others may still be on their way back
};
inline constexpr std::size_t kEpisodes = 16;
std::string nameOf(Episode episode);

/// Plays the episodes with the operators at work; stops at the first failure of the world.
void playEpisodes(World& world, const std::vector<Episode>& episodes);

/// The complete run of one seed: start, episodes, end, checks.
void playRun(World& world, const std::vector<Episode>& episodes);

}  // namespace beechpoint::simulation
