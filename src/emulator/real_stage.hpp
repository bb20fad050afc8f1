// What the real driver's parts share: the loop, the world, and one way into it that keeps time in order.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>

#include "core/clock.hpp"
#include "emulator/world.hpp"

namespace beechpoint::emulator {

using asio::ip::tcp;

// A run that could not be made: a port in use, a gatherer that did not start.
struct RunFailed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Stage {
public:
    virtual ~Stage() = default;
    virtual asio::io_context& io() = 0;
    virtual World& world() = 0;
    virtual const Clock& clock() = 0;
    virtual Millis now() const = 0;  // of the script; 0 until all gatherers are up
    // Brings the world up to now, does `work`, and carries out what comes of both.
    virtual void enter(const std::function<void(Millis now)>& work) = 0;
    // An address of its own on loopback for each party; the port is the scenario's next, or any free one.
    virtual tcp::endpoint addressFor(int kind, int number) = 0;
};

inline constexpr int kHosts = 10, kGatherers = 11, kAgents = 12;  // 127.KIND.x.y

std::string textOf(const tcp::endpoint& endpoint);
// Opens and binds; throws RunFailed, naming the address, where it is taken.
void bindTo(tcp::acceptor& acceptor, tcp::endpoint& endpoint);

}  // namespace beechpoint::emulator
