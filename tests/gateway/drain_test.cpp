// The drain of a complete gateway on sockets: a request at each point of its time line, on persistent and on new connections. The
// program's clock is set by the test; nothing waits for real time but for the loop's own short timers.
#include <string>

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr Millis kLeaving = 2750, kEnds = 7600,
                 kMayEnd = 3500;  // of 8 s, with answers of the directory of 2 s

std::string postOf(const std::string& path, const std::string& id, Millis deadline,
                   std::size_t bodySize = 2) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {:.0f}\r\n"
        "Content-Length: {}\r\n\r\n",
        path, id, deadline, bodySize);
}

class DrainTest : public GatewayTest {
protected:
    DrainTest() {
        clock.set(Clock::kOrigin);
        settings.timingBounds.seedLagS = 3;
        settings.timingBounds.ttlMaxS = 5;
        addRoute("long", "/l/", R"("type":"streaming","max_attempts":1,"gap_aim_ms":400)");
        auto& route = control.table["route/long"];
        const std::string timeout = R"("timeout_ms":5000)";
        route.replace(route.find(timeout), timeout.size(), R"("timeout_ms":15000)");
        host.onRequest = [this](Peer& peer) {
            if (!peer.has("\r\n\r\nhi")) return;
            hostSide = peer.shared_from_this();
            if (answers) answer();
        };
    }
    // The complete answer of the host to the request that it has.
    void answer() {
        const std::string id = hostSide->got.substr(hostSide->got.find("X-Attempt-Id: ") + 14, 2);
        hostSide->got.clear();
        hostSide->send(fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nhello", id));
    }
    void beginStream(const std::string& id) {
        hostSide->got.clear();
        hostSide->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                       "\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
    }
    void stop() {
        stoppedAt = clock.now();
        gateway->stop([this] { ended = true; });
    }
    // So long after SIGTERM, with all that is due by then done.
    void at(Millis passed) {
        clock.set(stoppedAt + passed);
        const auto began = std::chrono::steady_clock::now();
        until(io, [&] { return std::chrono::steady_clock::now() - began > kDrainChecks; });
    }
    PeerPtr connect() { return connectTo(io, gateway->frontEndpoint()); }
    PeerPtr served(const std::string& path, Millis deadline = 4000) {
        const PeerPtr client = connect();
        client->send(postOf(path, "a1", deadline) + "hi");
        EXPECT_TRUE(until(io, [&] { return client->has("hello"); })) << client->got;
        return client;
    }
    bool refusesConnections() {
        try {
            connect();
            return false;
        } catch (const asio::system_error&) {
            return true;
        }
    }
    void expectRefused(const PeerPtr& client) {
        ASSERT_TRUE(until(io, [&] { return client->ended; })) << client->got;
        EXPECT_TRUE(client->has("HTTP/1.1 503")) << client->got;
        EXPECT_TRUE(client->has("Retry-After: "));
        EXPECT_TRUE(client->has("Connection: close"));
    }

    static constexpr std::chrono::milliseconds kDrainChecks{
        150};  // three of the checks of a draining gateway
    PeerPtr hostSide;
    bool answers = true;
    bool ended = false;
    Millis stoppedAt = 0;
};

TEST_F(DrainTest, IsNotReadyAndNotInDirectoryAfterSigterm) {
    start();
    stop();
    EXPECT_FALSE(gateway->ready());
    ASSERT_TRUE(
        until(io, [&] { return control.lastPoll->gateway.draining && !control.lastPoll->gateway.ready; }));
    const PeerPtr platform = connectTo(io, gateway->readinessEndpoint());
    platform->send("GET /readiness HTTP/1.1\r\nHost: g\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return platform->has("\r\n\r\n"); }));
    EXPECT_TRUE(platform->has("HTTP/1.1 503"));
    const PeerPtr client = connectTo(io, gateway->directoryEndpoint());
    client->send("GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1\r\nHost: d\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
    EXPECT_FALSE(client->has("127.0.0.1:0"));
}

TEST_F(DrainTest, ServesRequestsReadBeforeSigtermToTheEnd) {
    answers = false;
    start();
    const PeerPtr client = connect();
    client->send(postOf("/l/x", "a1", 15'000) + "hi");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    beginStream("a1");
    stop();
    at(kEnds - 200);
    hostSide->send("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("data: b\n\n") && client->has("0\r\n\r\n"); }));
    client->close();
    EXPECT_TRUE(until(io, [&] { return ended; }));
}

TEST_F(DrainTest, LeavingServesNewAndKeptAliveConnectionsOnceMore) {
    start();
    const PeerPtr persistent = served("/p/x");
    EXPECT_FALSE(persistent->has("Connection: close"));
    stop();
    for (const Millis passed : {0.0, 1500.0, kLeaving - 50}) {
        at(passed);
        const PeerPtr client = served("/l/x", 15'000);
        EXPECT_TRUE(client->has("Connection: close"));
        EXPECT_TRUE(until(io, [&] { return client->ended; }));
    }
    persistent->got.clear();
    persistent->send(postOf("/p/x", "k2", 4000) + "hi");
    ASSERT_TRUE(until(io, [&] { return persistent->has("hello"); }));
    EXPECT_TRUE(persistent->has("Connection: close"));
}

TEST_F(DrainTest, FinishingClosesPortAndIdleConnections) {
    start();
    const PeerPtr persistent = served("/p/x");
    stop();
    at(kLeaving - 1);
    EXPECT_FALSE(persistent->ended);
    at(kLeaving);
    EXPECT_TRUE(persistent->ended);
    EXPECT_TRUE(refusesConnections());
}

TEST_F(DrainTest, FinishingAcceptsOnlyRequestsThatEndBeforeIt) {
    start();
    stop();
    at(kLeaving - 1);
    const PeerPtr shortOne = connect(), longOne = connect(), byRoute = connect();
    at(kLeaving + 100);  // they have come, but ask only now
    shortOne->send(postOf("/l/x", "a1", 4700) + "hi");
    ASSERT_TRUE(until(io, [&] { return shortOne->has("hello"); })) << shortOne->got;
    const std::size_t before = host.requests;
    longOne->send(postOf("/l/x", "a2", 4800) + "hi");
    expectRefused(longOne);
    byRoute->send(postOf("/p/x", "a3", 15'000) + "hi");  // the route allows 5 s
    expectRefused(byRoute);
    EXPECT_EQ(host.requests, before);
}

TEST_F(DrainTest, AdmitsHalfReadRequestByTheTimeItIsComplete) {
    start();
    const PeerPtr early = connect(), shortOne = connect(), longOne = connect();
    early->send(postOf("/l/x", "a1", 15'000) + "h");
    shortOne->send(postOf("/p/x", "a2", 4500) + "h");
    longOne->send(postOf("/l/x", "a3", 15'000) + "h");
    runReadyHandlers(io);
    stop();
    at(1000);
    early->send("i");
    ASSERT_TRUE(until(io, [&] { return early->has("hello"); })) << early->got;
    at(kLeaving + 500);
    EXPECT_FALSE(shortOne->ended);  // no connection on which a request has begun is closed
    EXPECT_FALSE(longOne->ended);
    shortOne->send("i");
    ASSERT_TRUE(until(io, [&] { return shortOne->has("hello"); })) << shortOne->got;
    longOne->send("i");
    expectRefused(longOne);
}

TEST_F(DrainTest, EndBreaksOffStreamThatOutlastsGraceTime) {
    answers = false;
    start();
    stop();
    at(kLeaving - 100);
    const PeerPtr client = connect();
    client->send(postOf("/l/x", "a1", 15'000) + "hi");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    beginStream("a1");
    ASSERT_TRUE(until(io, [&] { return client->has("data: a"); }));
    at(kEnds - 1);
    EXPECT_FALSE(client->ended);
    EXPECT_FALSE(ended);
    clock.set(stoppedAt + kEnds);
    ASSERT_TRUE(until(io, [&] { return ended; }));
    gateway.reset();  // as the process ends
    ASSERT_TRUE(until(io, [&] { return client->ended; }));
    EXPECT_FALSE(client->has("0\r\n\r\n"));
}

TEST_F(DrainTest, EndDoesNotPromiseNotExecutedForRequestInFlight) {
    answers = false;
    start();
    stop();
    const PeerPtr client = connect();
    client->send(postOf("/l/x", "a1", 15'000) + "hi");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    clock.set(stoppedAt + kEnds);
    ASSERT_TRUE(until(io, [&] { return ended && client->has("\r\n\r\n"); }));
    EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->got;
}

TEST_F(DrainTest, EndsWhenIdleAfterSeedLag) {
    start();
    stop();
    at(kMayEnd - 1);
    EXPECT_FALSE(ended);
    clock.set(stoppedAt + kMayEnd);
    EXPECT_TRUE(until(io, [&] { return ended; }));
}

}  // namespace
}  // namespace beechpoint::gateway
