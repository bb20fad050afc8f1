// What a real process takes of its machine, read from /proc: memory, descriptors, and bytes that wait unread in its sockets.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <string>

namespace beechpoint::system_test {

inline constexpr std::size_t kMegabyte = 1024 * 1024;

struct ProcessFigures {
    std::size_t residentBytes = 0;      // VmRSS
    std::size_t peakResidentBytes = 0;  // VmHWM
    std::size_t descriptors = 0;
};

// Nothing where there is no such process, or it has ended and is not yet reaped.
std::optional<ProcessFigures> figuresOf(pid_t process);

// Bytes that have arrived for the sockets of this IPv4 address and were not read by its process.
std::size_t unreadBytesOf(const std::string& ip);

// The largest figures of a process over several looks.
class PeakFigures {
public:
    PeakFigures(pid_t process, std::string ip) : process_(process), ip_(std::move(ip)) {}

    // False where the process has ended.
    bool look();
    // Resident bytes and unread ones together, at any look; not less than the kernel's own peak of the resident ones.
    std::size_t memoryBytes() const { return memoryBytes_; }
    std::size_t descriptors() const { return descriptors_; }

private:
    pid_t process_;
    std::string ip_;
    std::size_t memoryBytes_ = 0;
    std::size_t descriptors_ = 0;
};

}  // namespace beechpoint::system_test
