// Plays a crowd against one listener of a real process and checks what must hold whatever the crowd sends: the process lives, its memory
// and its descriptors keep to their bounds, and an ordinary caller is answered beside the crowd and after it.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "crowd.hpp"

namespace beechpoint::system_test {

// A process under test, and one of its listeners.
struct CrowdTarget {
    pid_t process = 0;
    std::string ip;
    std::uint16_t port = 0;
};

// What the program takes by itself, without a sanitizer; the rest of its memory is what clients may make it take.
inline constexpr std::size_t kProgramBytes = std::size_t{48} * 1024 * 1024;

struct CrowdBounds {
    std::size_t memoryBytes = 0;  // `memory_mb`: resident and unread bytes, less what a sanitizer takes
    std::size_t descriptors = 0;
};

// For processes that are started from now on: an address sanitizer holds next to nothing back from reuse, so that what they take is what
// the program holds.
void limitSanitizerReserve();

// Waits until the call succeeds, asking again and again; false after kConditionMost.
bool awaitCall(const std::function<bool()>& call);

// The figures become properties of the running test.
void playCrowd(const CrowdTarget& target, const CrowdBounds& bounds, const std::vector<CrowdScript>& scripts,
               const std::function<bool()>& ordinaryCall);

}  // namespace beechpoint::system_test
