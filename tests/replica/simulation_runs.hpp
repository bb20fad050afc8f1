// What the seeded simulations of the control state have in common: a run of one seed, its end, and faults at drawn moments.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

inline constexpr std::uint64_t kSeedsPerMix = 50;

// Three members, or five, by the seed.
ClusterOptions optionsOf(std::uint64_t seed);

// Whether a write is acknowledged within the bound after a fault or its end.
bool recovers(Cluster& cluster);
// All running nodes must return to one view and show everything acknowledged.
void settleAndCheck(Cluster& cluster);

using Mix = std::function<void(Cluster&)>;
// Plays the mix with each wanted seed; fails the test where an invariant does not hold. `name` is printed.
void playMix(const std::string& name, const Mix& mix);

// Injects the fault now, directly after an acknowledgement, or while a write is in flight, and waits for it.
void injectFault(Cluster& cluster, const std::function<void()>& fault);
// Injects a drawn fault of a drawn node, or ends one.
void anyFault(Cluster& cluster);

}  // namespace beechpoint::replica::simulation
