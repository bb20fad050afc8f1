// What ./try starts: a few stand-in track hosts in this process and three gatherers of one group, on loopback; a query, and what
// the group says of itself. For whoever sees the program for the first time.
#pragma once

#include <string>

namespace beechpoint::emulator {

// Returns once `stay` is false, or standard input ends or brings a line. `folder`: for configurations and logs. Throws RunFailed.
int tryOut(const std::string& program, const std::string& folder, bool stay);

}  // namespace beechpoint::emulator
