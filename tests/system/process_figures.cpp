#include "process_figures.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace beechpoint::system_test {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kKilobyte = 1024;
constexpr int kHexadecimal = 16;

std::size_t kilobytesOf(const std::string& line) {
    return std::strtoull(line.c_str() + line.find(':') + 1, nullptr, 10) * kKilobyte;
}

std::size_t descriptorsOf(pid_t process) {
    std::error_code error;
    const fs::directory_iterator entries(fmt::format("/proc/{}/fd", process), error);
    if (error) return 0;
    return static_cast<std::size_t>(std::distance(fs::begin(entries), fs::end(entries)));
}

// An address as /proc/net/tcp spells it: the bytes of the network's order, printed as one number of the machine's.
std::string kernelAddress(const std::string& ip) {
    in_addr address{};
    ::inet_pton(AF_INET, ip.c_str(), &address);
    return fmt::format("{:08X}", address.s_addr);
}

}  // namespace

std::optional<ProcessFigures> figuresOf(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    ProcessFigures figures;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) figures.residentBytes = kilobytesOf(line);
        if (line.starts_with("VmHWM:")) figures.peakResidentBytes = kilobytesOf(line);
    }
    if (figures.residentBytes == 0) return std::nullopt;
    figures.descriptors = descriptorsOf(process);
    return figures;
}

std::size_t unreadBytesOf(const std::string& ip) {
    // A line: number, local address, remote address, state, send queue and receive queue in hexadecimal, ...
    std::ifstream sockets("/proc/net/tcp");
    const std::string wanted = kernelAddress(ip);
    std::size_t bytes = 0;
    for (std::string line; std::getline(sockets, line);) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr const char* kListening = "0A";
        if (!local.starts_with(wanted) || state == kListening) continue;
        bytes += std::strtoull(queues.c_str() + queues.find(':') + 1, nullptr, kHexadecimal);
    }
    return bytes;
}

bool PeakFigures::look() {
    const auto figures = figuresOf(process_);
    if (!figures) return false;
    memoryBytes_ =
        std::max({memoryBytes_, figures->peakResidentBytes, figures->residentBytes + unreadBytesOf(ip_)});
    descriptors_ = std::max(descriptors_, figures->descriptors);
    return true;
}

}  // namespace beechpoint::system_test
