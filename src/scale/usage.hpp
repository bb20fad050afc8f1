// What a process has used: processor time, memory, and bytes on its TCP connections, as Linux tells them.
#pragma once

#include <sys/types.h>

#include <cstdint>

#include "core/clock.hpp"

namespace beechpoint::scale {

Millis processorTime(pid_t pid);         // of all threads of a process; 0 where it has ended
Millis threadTime();                     // of the calling thread
std::uint64_t residentBytes(pid_t pid);  // at the moment; 0 where it has ended

// Payload of this process's open connections to a port (of the peer), both ways since each was opened. Without
// retransmissions and headers.
struct Traffic {
    std::uint64_t connections = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t segments = 0;  // both ways, acknowledgements included
    std::uint64_t bytes() const { return sent + received; }
};
Traffic trafficTo(std::uint16_t port);

}  // namespace beechpoint::scale
