// Scripted peers on loopback, on one thread: raw bytes in, raw bytes out.
#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace beechpoint::test {

using asio::ip::tcp;

inline tcp::endpoint anyPort() { return {asio::ip::address_v4::loopback(), 0}; }

// Runs the loop until `done`; false if it has not come within a time that only a hanging test needs.
template <class Done>
bool until(asio::io_context& io, Done done) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
        if (std::chrono::steady_clock::now() > limit) return false;
        io.restart();
        io.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
}

// Carries out what is due now.
inline void runReadyHandlers(asio::io_context& io) {
    io.restart();
    while (io.poll() > 0) io.restart();
}

// One side of a connection.
class Peer : public std::enable_shared_from_this<Peer> {
public:
    explicit Peer(tcp::socket connected) : socket(std::move(connected)) {}
    void read() {
        socket.async_read_some(asio::buffer(space_),
                               [self = shared_from_this()](asio::error_code error, std::size_t n) {
                                   self->got.append(self->space_, n);
                                   if (error) {
                                       self->ended = true;
                                       self->wasReset = error == asio::error::connection_reset;
                                       return;
                                   }
                                   if (self->onData) self->onData(*self);
                                   if (!self->slow && self->socket.is_open()) self->read();
                               });
    }
    void send(std::string_view bytes) {
        const auto shared = std::make_shared<std::string>(bytes);
        asio::async_write(socket, asio::buffer(*shared), [shared](asio::error_code, std::size_t) {});
    }
    void close() {
        asio::error_code ignored;
        socket.close(ignored);
    }
    void reset() {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
    bool has(std::string_view text) const { return got.find(text) != std::string::npos; }

    tcp::socket socket;
    std::string got;
    bool ended = false, wasReset = false, slow = false;
    std::function<void(Peer&)> onData;

private:
    char space_[64 * 1024];
};
using PeerPtr = std::shared_ptr<Peer>;

inline PeerPtr connectTo(asio::io_context& io, const tcp::endpoint& to, bool slow = false) {
    tcp::socket socket(io);
    if (slow) {
        socket.open(to.protocol());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
    }
    socket.connect(to);
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->slow = slow;
    if (!slow) peer->read();
    return peer;
}

// Accepts connections and hands each request's bytes to a script.
class ScriptedHost {
public:
    explicit ScriptedHost(asio::io_context& io) : acceptor_(io, anyPort()) { accept(); }
    ~ScriptedHost() {
        for (const PeerPtr& peer : peers) peer->close();
    }
    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void stop() { acceptor_.close(); }

    std::vector<PeerPtr> peers;
    // Called with the bytes that have come on that connection since it was last called with a complete head among them.
    std::function<void(Peer&)> onRequest = [](Peer&) {};
    std::size_t requests = 0;

private:
    void accept() {
        acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) return;
            const auto peer = std::make_shared<Peer>(std::move(socket));
            peer->onData = [this](Peer& p) {
                if (!p.has("\r\n\r\n")) return;
                ++requests;
                onRequest(p);
            };
            peers.push_back(peer);
            peer->read();
            accept();
        });
    }
    tcp::acceptor acceptor_;
};

}  // namespace beechpoint::test
