// One control member of the scale run, as a process of its own: the real control role on loopback.
#pragma once

#include <cstddef>

#include "scale/cluster.hpp"

namespace beechpoint::scale {

// Runs until the process is ended. `clock` was made before the processes were split, so that all share its origin.
void runControl(Cluster& cluster, std::size_t member, const Clock& clock);

}  // namespace beechpoint::scale
