// What a gateway does with time: the time that it hands to hosts, and the end of a request's own.
#include <string>

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr Millis kFinalAnswerWithin = 400;  // of the route's time; the rules allow 500 ms

Millis handedOn(const std::string& request) {
    const std::string name = "X-Deadline-Remaining: ";
    const auto at = request.find(name);
    EXPECT_NE(at, std::string::npos) << request;
    EXPECT_EQ(request.find(name, at + 1), std::string::npos) << "twice";
    return at == std::string::npos ? -1 : std::stod(request.substr(at + name.size()));
}

class DeadlineTest : public GatewayTest {
protected:
    void routeTimeout(const std::string& name, Millis timeout) {
        auto& route = control.table["route/" + name];
        const std::string usual = R"("timeout_ms":5000)";
        route.replace(route.find(usual), usual.size(), fmt::format(R"("timeout_ms":{:.0f})", timeout));
    }
    PeerPtr askWith(const std::string& path, const std::string& headers) {
        const PeerPtr client = connectTo(io, gateway->frontEndpoint());
        client->send(fmt::format(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n{}Content-Length: 2\r\n\r\nhi", path,
            headers));
        return client;
    }
    void recordRequests(ScriptedHost& at) {
        at.onRequest = [this](Peer& peer) {
            if (!peer.has("\r\n\r\nhi")) return;
            seen.push_back(peer.got);
            hostSide = peer.shared_from_this();
            peer.got.clear();
            if (onSeen) onSeen(peer);
        };
    }
    // How long after its route's time a request gets its final answer, or the visible end of one that has begun.
    Millis overtime(const PeerPtr& client, Millis timeout) {
        const auto began = std::chrono::steady_clock::now();
        const bool over = until(io, [&] {
            if (client->ended) return true;
            return client->has("\r\n\r\n") && !client->has("HTTP/1.1 200");
        });
        EXPECT_TRUE(over) << client->got;
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
        return took.count() - timeout;
    }
    void beginStream() {
        hostSide->send(std::string(kHead) +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "f\r\nid: 1\ndata: a\n\n\r\n");
    }

    std::vector<std::string> seen;
    PeerPtr hostSide;
    std::function<void(Peer&)> onSeen;
    ScriptedHost second{io};
};

TEST_F(DeadlineTest, StatesAtMostTheClientsDeadlineToHost) {
    recordRequests(host);
    start();
    askWith("/p/x", "X-Deadline-Remaining: 1700\r\n");
    ASSERT_TRUE(until(io, [&] { return seen.size() == 1; }));
    EXPECT_LE(handedOn(seen[0]), 1700);
    EXPECT_GT(handedOn(seen[0]), 700);
}

TEST_F(DeadlineTest, StatesRouteTimeoutWhenClientStatesNoneOrMore) {
    recordRequests(host);
    start();
    askWith("/p/x", "");
    askWith("/e/x", "X-Deadline-Remaining: 60000\r\n");
    ASSERT_TRUE(until(io, [&] { return seen.size() == 2; }));
    for (const std::string& request : seen) {
        EXPECT_LE(handedOn(request), 5000);
        EXPECT_GT(handedOn(request), 4000);
    }
}

TEST_F(DeadlineTest, CountsTimeSinceFirstByteOfRequest) {
    recordRequests(host);
    start();
    clock.set(clock.now());
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    client->send(
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Remaining: 4000\r\n"
        "Content-Length: 2\r\n\r\nh");
    const auto began = std::chrono::steady_clock::now();
    until(io, [&] { return std::chrono::steady_clock::now() - began > std::chrono::milliseconds(50); });
    clock.set(clock.now() + 1500);
    client->send("i");
    ASSERT_TRUE(until(io, [&] { return seen.size() == 1; }));
    EXPECT_LE(handedOn(seen[0]), 2500);
}

TEST_F(DeadlineTest, StatesRemainingTimeToHostOfRetry) {
    addHost("i-2", second);
    recordRequests(host);
    recordRequests(second);
    onSeen = [this](Peer& peer) {
        if (seen.size() == 1) {
            clock.set(clock.now() + 700);  // so long it took
            peer.reset();
        }
    };
    start();
    clock.set(clock.now());
    askWith("/s/x", "X-Deadline-Remaining: 4000\r\n");
    ASSERT_TRUE(until(io, [&] { return seen.size() == 2; }));
    EXPECT_LE(handedOn(seen[1]), handedOn(seen[0]) - 700);
}

TEST_F(DeadlineTest, StatesRemainingTimeToHostOfResumedStream) {
    addHost("i-2", second);
    recordRequests(host);
    recordRequests(second);
    onSeen = [this](Peer& peer) {
        if (seen.size() > 1) return;
        beginStream();
        clock.set(clock.now() + 700);
        peer.close();
    };
    start();
    clock.set(clock.now());
    askWith("/r/x", "X-Deadline-Remaining: 4000\r\n");
    ASSERT_TRUE(until(io, [&] { return seen.size() == 2; }));
    EXPECT_LE(handedOn(seen[1]), handedOn(seen[0]) - 700);
}

TEST_F(DeadlineTest, FailsAtRouteTimeoutWhenHostDoesNotAnswer) {
    for (const char* route : {"plain", "safe", "stream", "resumable"}) routeTimeout(route, 300);
    recordRequests(host);
    start();
    for (const char* path : {"/p/x", "/s/x", "/e/x", "/r/x"}) {
        const PeerPtr client = askWith(path, "X-Deadline-Remaining: 4000\r\n");
        EXPECT_LE(overtime(client, 300), kFinalAnswerWithin) << path;
        EXPECT_TRUE(client->has("HTTP/1.1 50")) << path << client->got;
        EXPECT_FALSE(client->has("HTTP/1.1 503")) << path << ": it may have run";
        ASSERT_TRUE(until(io, [&] { return hostSide->ended; })) << path << ": the host works on";
    }
}

TEST_F(DeadlineTest, BreaksOffStreamAtRouteTimeout) {
    for (const char* route : {"stream", "resumable"}) routeTimeout(route, 300);
    recordRequests(host);
    onSeen = [this](Peer&) { beginStream(); };
    start();
    for (const char* path : {"/e/x", "/r/x"}) {
        const PeerPtr client = askWith(path, "");
        EXPECT_LE(overtime(client, 300), kFinalAnswerWithin) << path;
        EXPECT_TRUE(client->has("data: a"));
        EXPECT_FALSE(client->has("0\r\n\r\n"));
        ASSERT_TRUE(until(io, [&] { return hostSide->ended; })) << path << ": the host works on";
    }
}

TEST_F(DeadlineTest, BreaksOffHalfAnswerAtRouteTimeout) {
    for (const char* route : {"plain", "safe"}) routeTimeout(route, 300);
    recordRequests(host);
    onSeen = [](Peer& peer) { peer.send(std::string(kHead) + "Content-Length: 100000\r\n\r\nhalf"); };
    start();
    for (const char* path : {"/p/x", "/s/x"})
        EXPECT_LE(overtime(askWith(path, ""), 300), kFinalAnswerWithin) << path;
}

TEST_F(DeadlineTest, RejectsBeforeTimeoutWhenNoHostIsEligible) {
    control.hosts.clear();
    start();
    const PeerPtr client = askWith("/p/x", "");
    EXPECT_LE(overtime(client, 200 + 100), kFinalAnswerWithin);  // a quarter of the aim of 800 ms
    EXPECT_TRUE(client->has("HTTP/1.1 503"));
    EXPECT_TRUE(client->has("Retry-After: "));
}

}  // namespace
}  // namespace beechpoint::gateway
