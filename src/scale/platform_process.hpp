// A scripted stand-in for the platform's list of hosts, as a process of its own: pages of fixed length over HTTP, as the protocol
// page says. A change turns one more host from serving to draining, so that the number of draining hosts tells the state.
#pragma once

#include <cstddef>

#include "scale/cluster.hpp"

namespace beechpoint::scale {

// Runs until the process is ended.
void runPlatform(Cluster& cluster, std::size_t hosts, const Clock& clock);

}  // namespace beechpoint::scale
