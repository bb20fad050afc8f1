// Moments at which the simulations inject faults, and faults that several of them inject.
#pragma once

#include <functional>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

using InjectFault = std::function<void(Cluster& cluster, std::size_t node)>;

// Injects a fault at a drawn moment, or after a time limit: into the sender of a message of a drawn kind, or into a drawn node as a write
// is accepted, as a view is installed, or at no special moment.
void injectFaultAtMoment(Cluster& cluster, const InjectFault& inject);

// Cuts the link to a drawn node in one or both directions.
void partitionLink(Cluster& cluster, std::size_t node);
// Cuts the links to or from all other nodes, or both.
void partitionFromAll(Cluster& cluster, std::size_t node, bool in, bool out);

}  // namespace beechpoint::replica::simulation
