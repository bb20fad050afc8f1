// Crowds of clients that do not behave, one after the other at listeners and of kinds drawn by a seed; a few overlap. Each stays until the
// next ones have replaced it, or until the process that it uses is gone.
#pragma once

#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace beechpoint::system_test {

// What strangers reach of a process.
struct CrowdListener {
    enum class Kind { front, control, other };
    Kind kind = Kind::other;
    asio::ip::tcp::endpoint endpoint;
};

class CrowdRounds {
public:
    // Begins at once, on a thread of its own.
    CrowdRounds(std::vector<CrowdListener> listeners, std::uint64_t seed);
    ~CrowdRounds();

    // Ends all crowds. How many there were.
    std::size_t end();

private:
    void play();

    std::vector<CrowdListener> listeners_;
    std::uint64_t seed_;
    std::atomic<bool> ends_ = false;
    std::size_t rounds_ = 0;
    std::thread thread_;
};

}  // namespace beechpoint::system_test
