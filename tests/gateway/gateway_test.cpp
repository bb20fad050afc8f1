// A whole gateway on loopback: control and hosts are scripted peers on the same loop.
#include "gateway/gateway.hpp"

#include <gtest/gtest.h>

#include <optional>

#include "control/codec.hpp"
#include "loopback.hpp"
#include "rpc/server.hpp"

namespace beechpoint::gateway {
namespace {

using test::connectTo;
using test::Peer;
using test::PeerPtr;
using test::ScriptedHost;
using test::settle;
using test::until;

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: seal\r\n";

// A control member that knows one table and one list of hosts.
class ScriptedControl {
public:
    ScriptedControl(asio::io_context& io, Logger& log) : server_(io, log) {
        server_.onRequest([this](std::string bytes, rpc::Reply reply) { answer(bytes, std::move(reply)); });
        EXPECT_TRUE(server_.listen("127.0.0.1:0"));
    }
    std::uint16_t port() const { return server_.port(); }

    Table table;
    std::vector<instances::Host> hosts;
    std::optional<control::PollRequest> lastPoll;
    control::PollStatus status = control::PollStatus::ok;
    std::vector<leases::Gateway> directory;

private:
    void answer(const std::string& bytes, rpc::Reply reply) {
        const auto envelope = control::openEnvelope(bytes);
        ASSERT_TRUE(envelope);
        const auto poll = control::decodePollRequest(envelope.value().body);
        ASSERT_TRUE(poll);
        lastPoll = poll.value();
        control::PollReply answer;
        answer.status = status;
        const Position newest{1, 1};
        if (poll.value().position < newest) answer.table = TableUpdate{newest, true, changes()};
        answer.hostListVersion = {1, 1, 1};
        if (poll.value().hostList != answer.hostListVersion)
            answer.hostList = control::SharedHostList{answer.hostListVersion, 0, hosts};
        answer.hostListAge = 0;
        answer.largestLive = 1;
        answer.directoryDigest = 7;
        if (poll.value().directoryDigest != answer.directoryDigest) answer.directory = directory;
        if (poll.value().waitMs > 0 && !answer.table && !answer.hostList) {
            held_.push_back(std::move(reply));  // nothing new: the poll stays open
            return;
        }
        reply.send(control::encode(answer));
    }
    std::vector<Change> changes() const {
        std::vector<Change> all;
        for (const auto& [key, value] : table) all.push_back({key, value});
        return all;
    }
    rpc::Server server_;
    std::vector<rpc::Reply> held_;
};

class GatewayTest : public ::testing::Test {
protected:
    GatewayTest() : log(clock, logging::Format::json, -1), control(io, log), host(io) {
        control.table["meta/version"] = "5";
        control.table["service/llm"] =
            R"(1 {"name":"llm","health_check_path":"/health","max_connections":50,"warmup_s":0,"warmup_per_s":0})";
        addRoute("plain", "/p/", R"("type":"non_idempotent","max_attempts":1)");
        addRoute("safe", "/s/", R"("type":"idempotent","max_attempts":2)");
        addRoute("stream", "/e/", R"("type":"streaming","max_attempts":1,"gap_aim_ms":400)");
        addRoute("resumable", "/r/",
                 R"("type":"streaming","max_attempts":2,"resumable":true,"gap_aim_ms":400)");
        addHost("i-1", host);
    }
    void addRoute(const std::string& name, const std::string& prefix, const std::string& rest) {
        control.table["route/" + name] =
            fmt::format(R"(1 {{"name":"{}","hostname":"h.example","path_prefix":"{}","timeout_ms":5000,)"
                        R"("target_latency_ms":800,"priority_class":0,"backend":"llm",{}}})",
                        name, prefix, rest);
    }
    void addHost(const std::string& id, const ScriptedHost& at) {
        instances::Host entry;
        entry.instanceId = id;
        entry.service = "llm";
        entry.address = fmt::format("127.0.0.1:{}", at.endpoint().port());
        entry.zone = "z1";
        entry.capacity = 8;
        control.hosts.push_back(entry);
    }
    void start() {
        settings::ProcessSettings settings;
        settings.nodeName = "g1";
        settings.zone = "z1";
        settings.region = "r1";
        settings.zones = {{"z1", "r1"}};
        settings.internalPortRange = {control.port(), control.port()};
        settings.seedNodes = {"127.0.0.1:1"};
        settings.listenAddresses.front = "127.0.0.1:0";
        settings.listenAddresses.directory = "127.0.0.1:0";
        settings.cloudApi.address = "127.0.0.1:9";
        settings.limits.maxOpenFiles = 4100;
        settings.timingBounds.retryBudgetSlack = 50;
        settings.timingBounds.graceS = 8;
        gateway.emplace(io, settings, clock, log);
        gateway->start();
        ASSERT_TRUE(until(io, [&] { return gateway->ready(); }));
        settle(io);
    }
    PeerPtr ask(const std::string& path, const std::string& id = "a1", const std::string& extra = "") {
        const PeerPtr client = connectTo(io, gateway->frontEndpoint());
        client->send(
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n"
                        "X-Deadline-Remaining: 4000\r\n{}Content-Length: 2\r\n\r\nhi",
                        path, id, extra));
        return client;
    }

    asio::io_context io;
    Clock clock;
    Logger log;
    ScriptedControl control;
    ScriptedHost host;
    std::optional<Gateway> gateway;
};

TEST_F(GatewayTest, RelaysAnAnswerWithItsSealAndBody) {
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

TEST_F(GatewayTest, SendsTheRequestUnchangedAndNamesTheInstance) {
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

TEST_F(GatewayTest, TakesNoRequestWithTwoIdsOrNone) {
    start();
    const PeerPtr twice = ask("/p/x", "a1", "X-Attempt-Id: a2\r\n");
    EXPECT_TRUE(until(io, [&] { return twice->has("HTTP/1.1 400"); }));
    const PeerPtr none = ask("/p/x", "");
    EXPECT_TRUE(until(io, [&] { return none->has("HTTP/1.1 400"); }));
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(GatewayTest, AnswersUnknownRoutesWith404) {
    start();
    const PeerPtr client = ask("/none/x");
    EXPECT_TRUE(until(io, [&] { return client->has("HTTP/1.1 404"); }));
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(GatewayTest, AnswersTheDirectoryWithItselfWhileItKnowsNoOther) {
    start();
    const PeerPtr client = connectTo(io, gateway->directoryEndpoint());
    client->send("GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1\r\nHost: d\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("ttl_s"); }));
    EXPECT_TRUE(client->has("127.0.0.1:0"));
}

TEST_F(GatewayTest, NamesOtherReadyGatewaysThatControlTold) {
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

TEST_F(GatewayTest, PassesEventsOnOneByOne) {
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
    hostSide->send("2\r\n\n\n\r\n");  // only now is the first event whole
    ASSERT_TRUE(until(io, [&] { return client->has("data: a\n\n"); }));
    EXPECT_FALSE(client->has("0\r\n\r\n"));
    hostSide->send("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("data: b\n\n") && client->has("0\r\n\r\n"); }));
}

TEST_F(GatewayTest, EndsACutStreamVisiblyBroken) {
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

TEST_F(GatewayTest, TakesAResumableStreamUpElsewhereInsideOneAnswer) {
    ScriptedHost second(io);
    addHost("i-2", second);
    std::string resumed;
    bool cut = false;
    const auto script = [&](Peer& peer) {
        if (!cut) {
            cut = true;
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

TEST_F(GatewayTest, GivesNoPromiseThatTheHostDidNotGive) {
    host.onRequest = [](Peer& peer) {
        peer.send("HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
        peer.got.clear();
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
    EXPECT_FALSE(client->has("HTTP/1.1 503"));
}

TEST_F(GatewayTest, CancelsAtTheHostWhenTheClientLeaves) {
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) { hostSide = peer.shared_from_this(); };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    client->close();
    EXPECT_TRUE(until(io, [&] { return hostSide->ended; }));
}

TEST_F(GatewayTest, DrainsOnStopAndServesWhatItHasRead) {
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
