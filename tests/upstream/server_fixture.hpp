// A listener as a gateway uses it (strict reading), its clients, and the requests that it has handed on.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "net/server.hpp"

namespace beechpoint {

using net::HttpConnection;
using net::HttpMessage;
using ConnectionPtr = std::shared_ptr<HttpConnection>;
using test::PeerPtr;
using test::runReadyHandlers;
using test::until;

struct Received {
    std::string method, target, body;
    ConnectionPtr connection;
};

class StrictServer : public ::testing::Test {
protected:
    StrictServer() { start(limits()); }
    ~StrictServer() override {
        for (const PeerPtr& peer : peers) peer->close();
        received.clear();
        server.reset();
        runReadyHandlers(io);
    }

    static net::HttpLimits limits() {
        net::HttpLimits limits;
        limits.strict = true;
        limits.bodyPause = 2000;
        limits.body = 5 * 1024 * 1024;
        return limits;
    }
    // With a budget, its connections keep to it.
    void start(const net::HttpLimits& limits, net::ConnectionBudget* budget = nullptr) {
        server = std::make_unique<net::HttpServer>(
            io, clock, log, 64, [this](const HttpMessage& m, const ConnectionPtr& c) {
                received.push_back({std::string(m.method), std::string(m.target), std::string(m.body), c});
                if (onRequest) onRequest(c);
            });
        server->limits(limits);
        if (budget != nullptr) server->memory(*budget, 0);
        server->listen(test::anyPort());
    }
    PeerPtr connect(bool slow = false) {
        peers.push_back(test::connectTo(io, server->endpoint(), slow));
        return peers.back();
    }
    PeerPtr ask(const std::string& bytes) {
        const PeerPtr peer = connect();
        peer->send(bytes);
        return peer;
    }
    // The connection of the request that comes next.
    ConnectionPtr receive(const std::string& bytes, PeerPtr* peer = nullptr, bool slow = false) {
        const std::size_t before = received.size();
        const PeerPtr asker = connect(slow);
        asker->send(bytes);
        if (peer != nullptr) *peer = asker;
        EXPECT_TRUE(until(io, [&] { return received.size() > before; }));
        return received.back().connection;
    }
    void pass(Millis ms) { clock.set(clock.now() + ms); }

    asio::io_context io;
    Clock clock;
    Logger log{clock, logging::Format::text, -1};
    std::unique_ptr<net::HttpServer> server;
    std::vector<Received> received;
    std::vector<PeerPtr> peers;
    std::function<void(const ConnectionPtr&)> onRequest;
};

inline const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
inline const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n";

}  // namespace beechpoint
