#include "scale/usage.hpp"

#include <fmt/format.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace beechpoint::scale {
namespace {

Millis readClock(clockid_t clock) {
    timespec time{};
    if (clock_gettime(clock, &time) != 0) return 0;
    return static_cast<Millis>(time.tv_sec) * 1e3 + static_cast<Millis>(time.tv_nsec) * 1e-6;
}

bool connectedTo(int descriptor, std::uint16_t port) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return false;
    return peer.sin_family == AF_INET && ntohs(peer.sin_port) == port;
}

void addTraffic(int descriptor, Traffic& traffic) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return;
    traffic.connections++;
    traffic.sent += info.tcpi_bytes_acked;
    traffic.received += info.tcpi_bytes_received;
    traffic.segments += info.tcpi_segs_out + info.tcpi_segs_in;
}

}  // namespace

Millis processorTime(pid_t pid) {
    clockid_t clock{};
    return clock_getcpuclockid(pid, &clock) == 0 ? readClock(clock) : 0;
}

Millis threadTime() { return readClock(CLOCK_THREAD_CPUTIME_ID); }

std::uint64_t residentBytes(pid_t pid) {
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    std::uint64_t whole = 0, resident = 0;
    file >> whole >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Traffic trafficTo(std::uint16_t port) {
    Traffic traffic;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
        const int descriptor = std::atoi(entry.path().filename().c_str());
        if (connectedTo(descriptor, port)) addTraffic(descriptor, traffic);
    }
    return traffic;
}

}  // namespace beechpoint::scale
