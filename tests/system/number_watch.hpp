// Reads numbers that may not go back, on a thread of its own: the revision of the configuration, from any member, and the position of the table
// that each process of a gateway serves by.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "system.hpp"

namespace beechpoint::system_test {

class NumberWatch {
public:
    explicit NumberWatch(const System& system);
    ~NumberWatch();

    // Another process has this gateway's place from now on.
    void gatewayStarts(std::size_t gateway) { ++lives_[gateway]; }

    struct Seen {
        std::size_t revisions = 0;  // read
        std::size_t positions = 0;
        std::vector<std::string> findings;
    };
    // Ends it.
    Seen end();

private:
    using Place = std::pair<double, double>;  // epoch and sequence

    void look();
    void readRevision(const std::string& control);
    void readPosition(std::size_t gateway);

    std::vector<std::string> controls_, metrics_;
    std::array<std::atomic<unsigned>, kMostGateways> lives_{};
    std::array<std::pair<unsigned, Place>, kMostGateways> places_{};  // of which life
    std::uint64_t revision_ = 0;
    Seen seen_;
    std::atomic<bool> ends_ = false;
    std::thread thread_;
};

}  // namespace beechpoint::system_test
