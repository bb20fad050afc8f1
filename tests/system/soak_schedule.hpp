// What a seed has done to the processes of a soak: signals, ends and restarts that overlap. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::system_test {

enum class SoakAction { terminate, kill, stop, reload };

struct SoakEvent {
    Millis at = 0;  // from the beginning
    SoakAction action = SoakAction::reload;
    bool isMember = false;
    std::size_t number = 0;  // of the member or gateway
    Millis length = 0;       // of the stop, or from the end of the process to its restart
};

// In the order of their times.
std::vector<SoakEvent> drawSchedule(std::uint64_t seed, std::size_t members, std::size_t gateways,
                                    Millis length);
// Series that begin at drawn moments and overlap: processes of one kind one after the other or all at once, one process again and again, or
// one that is down for long.
std::vector<SoakEvent> drawSeries(std::uint64_t seed, std::size_t members, std::size_t gateways,
                                  Millis length);
// The events, a line each, each after a line break.
std::string describe(const std::vector<SoakEvent>& events);

}  // namespace beechpoint::system_test
