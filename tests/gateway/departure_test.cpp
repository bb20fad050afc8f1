// Clients that leave before they have their answer: no host is asked for them any more, and what runs is cancelled.
#include <string>

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr std::chrono::milliseconds kCancelledWithin{400};  // the rules allow 500 ms

class DepartureTest : public GatewayTest {
protected:
    void recordRequests(ScriptedHost& at) {
        at.onRequest = [this](Peer& peer) {
            hostSide = peer.shared_from_this();
            if (onSeen) onSeen(peer);
        };
    }
    bool cancelledInTime() {
        const auto began = std::chrono::steady_clock::now();
        return until(io, [&] { return hostSide->ended; }) &&
               std::chrono::steady_clock::now() - began <= kCancelledWithin;
    }
    // Lets the loop run for longer than a request may wait for a host.
    void passPatience() {
        const auto began = std::chrono::steady_clock::now();
        until(io, [&] { return std::chrono::steady_clock::now() - began > std::chrono::milliseconds(300); });
    }
    void beginStream(Peer& peer) {
        peer.got.clear();
        peer.send(std::string(kHead) +
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  "f\r\nid: 1\ndata: a\n\n\r\n");
    }

    PeerPtr hostSide;
    std::function<void(Peer&)> onSeen;
    ScriptedHost second{io};
};

TEST_F(DepartureTest, CancelsRequestInFlightHoweverClientLeaves) {
    recordRequests(host);
    start();
    for (const char* path : {"/p/x", "/s/x", "/e/x", "/r/x"}) {
        for (const bool reset : {false, true}) {
            hostSide = nullptr;
            const PeerPtr client = ask(path);
            ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; })) << path;
            reset ? client->reset() : client->close();
            EXPECT_TRUE(cancelledInTime()) << path << (reset ? " reset" : " closed");
        }
    }
}

TEST_F(DepartureTest, CancelsStreamWhenClientLeavesInTheMiddle) {
    recordRequests(host);
    onSeen = [this](Peer& peer) { beginStream(peer); };
    start();
    for (const char* path : {"/e/x", "/r/x"}) {
        const PeerPtr client = ask(path);
        ASSERT_TRUE(until(io, [&] { return client->has("data: a"); })) << path;
        client->close();
        EXPECT_TRUE(cancelledInTime()) << path;
    }
}

// Its host is paused then, and much waits for the client.
TEST_F(DepartureTest, CancelsWhenClientThatReadsNothingLeaves) {
    const std::string chunk(64 * 1024, 'x');
    recordRequests(host);
    onSeen = [&](Peer& peer) {
        peer.got.clear();
        peer.send(std::string(kHead) + "Content-Length: 100000000\r\n\r\n");
        for (int i = 0; i < 160; ++i) peer.send(chunk);
    };
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint(), true);
    client->send("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    passPatience();
    client->close();
    EXPECT_TRUE(cancelledInTime());
}

// The end of a client lies behind what it sent ahead.
TEST_F(DepartureTest, CancelsWhenPipeliningClientLeaves) {
    recordRequests(host);
    start();
    for (const std::size_t ahead : {100, 200 * 1000, 8 * 1000 * 1000}) {
        hostSide = nullptr;
        const PeerPtr client = ask("/s/x");
        ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
        bool sent = false;
        const std::string bytes(ahead, 'x');
        asio::async_write(client->socket, asio::buffer(bytes),
                          [&](asio::error_code, std::size_t) { sent = true; });
        ASSERT_TRUE(until(io, [&] { return sent; })) << ahead;
        client->close();
        EXPECT_TRUE(cancelledInTime()) << ahead;
    }
}

TEST_F(DepartureTest, DoesNotSendPendingRequestAfterClientLeft) {
    recordRequests(host);
    control.hosts[0].state = host_discovery::HostState::draining;
    start();
    const PeerPtr client = ask("/s/x");
    runReadyHandlers(io);
    client->close();
    runReadyHandlers(io);
    control.hosts[0].state = host_discovery::HostState::serving;
    publish();
    passPatience();
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(DepartureTest, DoesNotRetryAfterClientLeft) {
    addHost("i-2", second);
    recordRequests(host);
    recordRequests(second);
    start();
    const PeerPtr client = ask("/s/x");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    client->close();
    ASSERT_TRUE(until(io, [&] { return hostSide->ended; }));
    passPatience();
    EXPECT_EQ(host.requests + second.requests, 1u);
}

TEST_F(DepartureTest, NeverSendsHalfReadRequest) {
    recordRequests(host);
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    client->send("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nh");
    runReadyHandlers(io);
    client->close();
    passPatience();
    EXPECT_EQ(host.requests, 0u);
}

}  // namespace
}  // namespace beechpoint::gateway
