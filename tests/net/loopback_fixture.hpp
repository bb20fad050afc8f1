/// Loopback sockets for the tests of the gatherer: an event loop that is run until a condition holds,
/// connections and listeners.
///
/// All stand-ins run on one event loop and one thread, that of the test. Not for tests in virtual time.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/buffer.hpp"

namespace beechpoint::test {

using asio::ip::tcp;

/// The loopback address with a port that the system chooses.
inline const tcp::endpoint kAnyPort(asio::ip::address_v4::loopback(), 0);

/// The event loop that all stand-ins and the gatherer under test share.
asio::io_context& eventLoop();

/// Runs the loop until `done` returns true. Throws std::runtime_error after 20 s, which ends and fails the
/// test.
template <class Condition>
void runUntil(asio::io_context& io, Condition done) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
        if (std::chrono::steady_clock::now() >= limit)
            throw std::runtime_error("the awaited condition did not come within 20 s");
        io.restart();
        io.run_one_for(std::chrono::milliseconds(100));
    }
}

/// Runs all handlers that are ready, and waits for none.
void runReady(asio::io_context& io);

/// Keeps the thread, and with it the event loop, busy for the time given.
void blockEventLoop(std::chrono::milliseconds time);

/// One end of a TCP connection. Written to synchronously, read asynchronously into `in`.
struct LoopbackConnection : std::enable_shared_from_this<LoopbackConnection> {
    explicit LoopbackConnection(tcp::socket connected) : socket(std::move(connected)) {}
    /// Reads until the connection ends; calls `onRead` after each read and at the end.
    void read(std::function<void()> onRead);
    void send(const std::string& bytes);
    void close();
    tcp::socket socket;
    net::Buffer in;
    bool ended = false;
};
using LoopbackConnectionPtr = std::shared_ptr<LoopbackConnection>;

/// Listens on a port of its own, accepts all connections and reads them.
class LoopbackListener {
public:
    explicit LoopbackListener(asio::io_context& io);
    virtual ~LoopbackListener();
    /// ADDRESS:PORT, as the settings name a host.
    std::string address() const;
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    std::vector<LoopbackConnectionPtr> connections;  ///< all that were accepted, in order

protected:
    /// Called after each read of a connection, and at its end.
    virtual void onData(LoopbackConnection& connection) = 0;

private:
    void accept();
    tcp::acceptor acceptor_;
};

}  // namespace beechpoint::test
