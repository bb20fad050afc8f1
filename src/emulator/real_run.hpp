// A scenario against real gatherers: processes and sockets on loopback, in real time.
#pragma once

#include <functional>
#include <string>

#include "emulator/results.hpp"
#include "emulator/world.hpp"

namespace beechpoint::emulator {

struct RealOptions {
    std::string gatherer;  // the program
    std::string folder;    // for configurations and logs; it must exist
    std::function<void(const World&, Millis now)> everySecond;
    // A run is void where one step in a hundred came later than this.
    Millis latest = 10;
    std::function<void(std::uint64_t parts)> atEnd;  // parts that came over the sockets
};

// Throws RunFailed where it can't be made: a port in use, a gatherer that does not start, or that ended
// unasked.
Results runReal(const Scenario& scenario, std::uint64_t seed, const RealOptions& options);

}  // namespace beechpoint::emulator
