// What a gateway does with clients' requests, hosts' answers and its own end.
#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

TEST_F(GatewayTest, RelaysAnswerWithSealAndBody) {
    host.onRequest = [](Peer& peer) {
        peer.send(std::string(kHead) + "Content-Length: 5\r\n\r\nhello");
        peer.got.clear();
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("hello"); })) << client->got;
    EXPECT_TRUE(client->has("HTTP/1.1 200"));
    EXPECT_TRUE(client->has("X-Server-Seal: seal"));
}

TEST_F(GatewayTest, SendsRequestUnchangedWithTargetInstance) {
    std::string seen;
    host.onRequest = [&](Peer& peer) { seen = peer.got; };
    start();
    const PeerPtr client = ask("/p/x?q=1");
    ASSERT_TRUE(until(io, [&] { return seen.find("hi") != std::string::npos; }));
    EXPECT_EQ(seen.rfind("POST /p/x?q=1 HTTP/1.1\r\n", 0), 0u);
    EXPECT_NE(seen.find("X-Target-Instance: i-1\r\n"), std::string::npos);
    EXPECT_NE(seen.find("X-Attempt-Id: a1\r\n"), std::string::npos);
    EXPECT_NE(seen.find("X-Deadline-Remaining: "), std::string::npos);
}

TEST_F(GatewayTest, RejectsRequestWithTwoAttemptIdsOrNone) {
    start();
    const PeerPtr twice = ask("/p/x", "a1", "X-Attempt-Id: a2\r\n");
    EXPECT_TRUE(until(io, [&] { return twice->has("HTTP/1.1 400"); }));
    const PeerPtr none = ask("/p/x", "");
    EXPECT_TRUE(until(io, [&] { return none->has("HTTP/1.1 400"); }));
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(GatewayTest, AnswersUnknownRouteWith404) {
    start();
    const PeerPtr client = ask("/none/x");
    EXPECT_TRUE(until(io, [&] { return client->has("HTTP/1.1 404"); }));
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(GatewayTest, DirectoryNamesItselfWhenNoOtherIsKnown) {
    start();
    const PeerPtr client = connectTo(io, gateway->directoryEndpoint());
    client->send("GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1\r\nHost: d\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("ttl_s"); }));
    EXPECT_TRUE(client->has("127.0.0.1:0"));
}

TEST_F(GatewayTest, DirectoryNamesReadyGatewaysThatControlReported) {
    leases::Gateway other;
    other.name = "g2";
    other.zone = "z1";
    other.region = "r1";
    other.frontAddress = "10.0.0.9:80";
    other.ready = true;
    control.directory = {other};
    start();
    const PeerPtr client = connectTo(io, gateway->directoryEndpoint());
    client->send("GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1\r\nHost: d\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("ttl_s"); }));
    EXPECT_TRUE(client->has("10.0.0.9:80"));
}

TEST_F(GatewayTest, ForwardsStreamEventsOneByOne) {
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) {
        hostSide = peer.shared_from_this();
        peer.send(std::string(kHead) +
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  "d\r\nid: 1\ndata: a\r\n");
        peer.got.clear();
    };
    start();
    const PeerPtr client = ask("/e/x");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    hostSide->send("2\r\n\n\n\r\n");  // only now is the first event complete
    ASSERT_TRUE(until(io, [&] { return client->has("data: a\n\n"); }));
    EXPECT_FALSE(client->has("0\r\n\r\n"));
    hostSide->send("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("data: b\n\n") && client->has("0\r\n\r\n"); }));
}

TEST_F(GatewayTest, BreaksOffStreamThatHostTruncated) {
    host.onRequest = [&](Peer& peer) {
        peer.send(std::string(kHead) +
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  "f\r\nid: 1\ndata: a\n\n\r\n");
        peer.close();
    };
    start();
    const PeerPtr client = ask("/e/x");
    ASSERT_TRUE(until(io, [&] { return client->ended; }));
    EXPECT_TRUE(client->has("data: a"));
    EXPECT_FALSE(client->has("0\r\n\r\n"));
}

TEST_F(GatewayTest, CountsFaultsOfHostsAnswersByReason) {
    host.onRequest = [](Peer& peer) {
        peer.send("HTTP/1.1 OK 200\r\n\r\n");
        peer.got.clear();
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("HTTP/1.1 502"); }));
    const PeerPtr reader = connectTo(io, gateway->readinessEndpoint());
    reader->send("GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n");
    const std::string_view name = "beechpoint_gateway_answer_faults_total";
    ASSERT_TRUE(until(io, [&] { return reader->has("beechpoint_gateway_host_surplus_total 0"); }));
    EXPECT_TRUE(reader->has(fmt::format("{}{{reason=\"malformed_answer\"}} 1\n", name)));
    EXPECT_TRUE(reader->has(fmt::format("{}{{reason=\"broken_answer\"}} 0\n", name)));
}

TEST_F(GatewayTest, ResumesResumableStreamAtAnotherHostInOneAnswer) {
    ScriptedHost second(io);
    addHost("i-2", second);
    std::string resumed;
    bool truncated = false;
    const auto script = [&](Peer& peer) {
        if (!truncated) {
            truncated = true;
            peer.send(std::string(kHead) +
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      "f\r\nid: 1\ndata: a\n\n\r\n");
            peer.close();
            return;
        }
        resumed = peer.got;
        peer.send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: other\r\nContent-Type: "
            "text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    };
    host.onRequest = second.onRequest = script;
    start();
    const PeerPtr client = ask("/r/x");
    ASSERT_TRUE(until(io, [&] { return client->has("0\r\n\r\n"); }));
    EXPECT_TRUE(client->has("data: a\n\n"));
    EXPECT_TRUE(client->has("data: b\n\n"));
    EXPECT_TRUE(client->has("X-Server-Seal: seal"));
    EXPECT_FALSE(client->has("X-Server-Seal: other"));
    EXPECT_NE(resumed.find("Last-Event-Id: 1\r\n"), std::string::npos);
}

TEST_F(GatewayTest, DoesNotPromiseNotExecutedWithoutTheHostsWord) {
    host.onRequest = [](Peer& peer) {
        peer.send("HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
        peer.got.clear();
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
    EXPECT_FALSE(client->has("HTTP/1.1 503"));
}

TEST_F(GatewayTest, CancelsAtHostWhenClientLeaves) {
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) { hostSide = peer.shared_from_this(); };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    client->close();
    EXPECT_TRUE(until(io, [&] { return hostSide->ended; }));
}

TEST_F(GatewayTest, DrainsOnStopAndServesRequestsAlreadyRead) {
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) { hostSide = peer.shared_from_this(); };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    bool ended = false;
    gateway->stop([&] { ended = true; });
    EXPECT_FALSE(gateway->ready());
    ASSERT_TRUE(until(io, [&] { return control.lastPoll && control.lastPoll->gateway.draining; }));
    hostSide->send(std::string(kHead) + "Content-Length: 5\r\n\r\nhello");
    ASSERT_TRUE(until(io, [&] { return client->has("hello"); }));
    EXPECT_TRUE(client->has("Connection: close"));
    EXPECT_TRUE(until(io, [&] { return ended; }));
}

}  // namespace
}  // namespace beechpoint::gateway
