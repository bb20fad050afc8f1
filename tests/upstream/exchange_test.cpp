// Exchanges with scripted hosts: each way in which one can end, and which connections are used again.
#include "exchange_fixture.hpp"

namespace beechpoint::upstream {
namespace {

TEST(HostAddress, ParsesNumericAddresses) {
    EXPECT_EQ(HostAddress::parse("10.0.0.1:8080").value().text(), "10.0.0.1:8080");
    EXPECT_EQ(HostAddress::parse("[::1]:80").value().text(), "[::1]:80");
    for (const char* wrong : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "host:80",
                              "::1:80", "[10.0.0.1]:80", "10.0.0.1:8x"})
        EXPECT_FALSE(HostAddress::parse(wrong)) << wrong;
}

TEST_F(Exchanges, SendsRequestUnchanged) {
    std::string got;
    host.onRequest = [&](Peer& peer) {
        got = peer.got;
        if (!peer.has("body")) return;
        peer.send(counted("a1", "fine"));
    };
    Request post = request("a1", "POST");
    post.headers = {
        {"Host", "h"}, {"X-Attempt-Id", "a1"}, {"Connection", "close"}, {"Transfer-Encoding", "chunked"}};
    post.body = std::make_shared<const std::string>("body");
    const Outcome outcome = exchange(post);
    ASSERT_TRUE(outcome.ended);
    EXPECT_EQ(got, "POST /path?x=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody");
    EXPECT_EQ(outcome.head->status, 200);
    EXPECT_EQ(outcome.head->contentLength, 4u);
    EXPECT_EQ(outcome.head->headers, (Headers{{"X-Attempt-Id", "a1"}}));
    EXPECT_FALSE(outcome.head->reused);
    EXPECT_GE(outcome.head->connectTime, 0);
    EXPECT_EQ(outcome.body, "fine");
}

TEST_F(Exchanges, AddsAttemptIdAndFramesEmptyBodies) {
    std::string got;
    host.onRequest = [&](Peer& peer) {
        got = std::exchange(peer.got, "");
        peer.send(counted("a1", ""));
    };
    EXPECT_TRUE(exchange(request("a1")).ended);
    EXPECT_EQ(got, "GET /path?x=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n");
    EXPECT_TRUE(exchange(request("a1", "POST")).ended);
    EXPECT_TRUE(got.ends_with("Content-Length: 0\r\n\r\n"));
}

TEST_F(Exchanges, ReportsKindOfFailure) {
    const std::string partHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-";
    EXPECT_EQ(kindOf("", true), FailureKind::resetBeforeAnswer);
    EXPECT_EQ(kindOf(partHead, true), FailureKind::brokenAnswer);
    EXPECT_EQ(kindOf(answer("a1", "Content-Length: 9\r\n", "part"), true), FailureKind::brokenAnswer);
    EXPECT_EQ(kindOf(answer("a1", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"), true),
              FailureKind::brokenAnswer);
    EXPECT_EQ(kindOf(answer("a1", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n"), true),
              FailureKind::brokenAnswer);
    EXPECT_EQ(kindOf(answer("a1", "Transfer-Encoding: chunked\r\n", "4\r\npartx"), false),
              FailureKind::brokenAnswer);
    EXPECT_EQ(kindOf("nonsense", false), FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf("HTTP/1.1 banana\r\n\r\n", false), FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf("HTTP/1.1 200 OK\n\n", false), FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf("HTTP/1.1 101 Switching\r\n\r\n", false), FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf(answer("a1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"), false),
              FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf(answer("a1", "X: " + std::string(70'000, 'x') + "\r\n"), false),
              FailureKind::malformedAnswer);
    EXPECT_EQ(kindOf(counted("other", "abc"), false), FailureKind::foreignAnswer);
    EXPECT_EQ(kindOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false), FailureKind::foreignAnswer);
    EXPECT_EQ(kindOf(answer("a1", "X-Attempt-Id: a1\r\nContent-Length: 0\r\n"), false),
              FailureKind::foreignAnswer);
    EXPECT_EQ(upstream->exchanges(), 0u);
}

TEST_F(Exchanges, ResetDoesNotCompleteAnswer) {
    host.onRequest = [](Peer& peer) {
        asio::write(peer.socket, asio::buffer(answer("a1", "", "part")));
        peer.reset();
    };
    const Outcome outcome = exchange(request("a1"));
    ASSERT_TRUE(outcome.failure);
    EXPECT_TRUE(outcome.failure->kind == FailureKind::brokenAnswer ||
                outcome.failure->kind == FailureKind::resetBeforeAnswer);
}

TEST_F(Exchanges, ReportsNotConnectedWhenNobodyListens) {
    const HostAddress nobody = address();
    host.stop();
    const Outcome outcome = exchange(request("a1"), kLong, nobody);
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(outcome.failure->kind, FailureKind::notConnected);
    EXPECT_FALSE(outcome.failure->sent);
    EXPECT_EQ(upstream->counts().dialFailures, 1u);
    EXPECT_EQ(upstream->connections(), 0u);
}

// A full backlog leaves dials without an answer.
TEST_F(Exchanges, ReportsNotConnectedWhenDialTimesOut) {
    asio::ip::tcp::acceptor full(io);
    full.open(asio::ip::tcp::v4());
    full.bind(test::anyPort());
    full.listen(0);
    std::vector<asio::ip::tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.emplace_back(io);
        fillers.back().async_connect(full.local_endpoint(), [](asio::error_code) {});
    }
    runReadyHandlers(io);
    const Outcome outcome = exchange(request("a1"), 50, addressOf(full.local_endpoint()));
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(outcome.failure->kind, FailureKind::notConnected);
    EXPECT_FALSE(outcome.failure->sent);
}

TEST_F(Exchanges, ReportsTimedOutWhenHostDoesNotAnswer) {
    script("");
    const Outcome unresponsive = exchange(request("a1"), 50);
    ASSERT_TRUE(unresponsive.failure);
    EXPECT_EQ(unresponsive.failure->kind, FailureKind::timedOut);
    EXPECT_TRUE(unresponsive.failure->sent);
    script(answer("a1", "Content-Length: 9\r\n", "part"));
    const Outcome half = exchange(request("a1"), 50);
    ASSERT_TRUE(half.failure);
    EXPECT_EQ(half.failure->kind, FailureKind::timedOut);
    EXPECT_TRUE(half.failure->headSeen);
    EXPECT_TRUE(
        until(io, [&] { return host.peers.size() == 2 && host.peers[0]->ended && host.peers[1]->ended; }));
}

TEST_F(Exchanges, BoundsConnectionsPerHost) {
    script("");
    std::vector<Outcome> inFlight(kConnections);
    std::vector<Handle> handles;
    for (Outcome& outcome : inFlight) handles.push_back(begin(outcome, request("a1")));
    const Outcome refused = exchange(request("a2"));
    ASSERT_TRUE(refused.failure);
    EXPECT_EQ(refused.failure->kind, FailureKind::noCapacity);
    EXPECT_FALSE(refused.failure->sent);
    EXPECT_EQ(upstream->connections(address()), kConnections);
    upstream->cancel(handles[0]);
    EXPECT_EQ(upstream->connections(address()), kConnections - 1);
    Outcome cancelled;
    begin(cancelled, request("a3"));
    upstream->cancel(begin(cancelled, request("a4")));  // its refusal was on its way
    runReadyHandlers(io);
    EXPECT_FALSE(cancelled.over());
    for (const Outcome& outcome : inFlight) EXPECT_FALSE(outcome.over());
}

TEST_F(Exchanges, ReusesUnusedConnection) {
    host.onRequest = [](Peer& peer) {
        const bool first = peer.has("a1");
        peer.got.clear();
        peer.send(first ? counted("a1", "one")
                        : answer("a2", "Transfer-Encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n"));
    };
    EXPECT_EQ(exchange(request("a1")).body, "one");
    EXPECT_EQ(upstream->unused(address()), 1u);
    const Outcome second = exchange(request("a2"));
    EXPECT_EQ(second.body, "two");
    EXPECT_TRUE(second.head->reused);
    EXPECT_EQ(host.peers.size(), 1u);
    EXPECT_EQ(upstream->counts().dials, 1u);
    EXPECT_EQ(upstream->counts().reuses, 1u);
}

// From within onEnd the connection can be had again.
TEST_F(Exchanges, SendsNextRequestFromHandler) {
    int left = 5;
    const auto id = [&] { return "a" + std::to_string(left); };
    host.onRequest = [&](Peer& peer) {
        peer.got.clear();
        peer.send(counted(id(), "x"));
    };
    std::function<void()> again = [&] {
        if (--left == 0) return;
        Handlers handlers;
        handlers.onEnd = again;
        upstream->send(address(), kConnections, request(id()), kLong, handlers);
    };
    again();
    ASSERT_TRUE(until(io, [&] { return left == 0; }));
    EXPECT_EQ(host.peers.size(), 1u);
}

TEST_F(Exchanges, DoesNotReuseConnectionThatHostCloses) {
    script(answer("a1", "Connection: close\r\nContent-Length: 1\r\n", "x"));
    EXPECT_TRUE(exchange(request("a1")).head->hostCloses);
    EXPECT_EQ(upstream->connections(), 0u);
    script("HTTP/1.0 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_TRUE(exchange(request("a1")).ended);
    EXPECT_EQ(upstream->connections(), 0u);
    script("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\nx");
    EXPECT_TRUE(exchange(request("a1")).ended);
    EXPECT_EQ(upstream->connections(), 0u);
}

TEST_F(Exchanges, ClosesConnectionWithSurplusBytes) {
    script(counted("a1", "one") + counted("a2", "forged"));  // in one chunk
    EXPECT_EQ(exchange(request("a1")).body, "one");
    EXPECT_EQ(upstream->connections(), 0u);
    EXPECT_EQ(upstream->counts().surplus, 1u);
    script(counted("a1", "one"));  // later, while the connection lies unused
    EXPECT_EQ(exchange(request("a1")).body, "one");
    ASSERT_EQ(upstream->unused(address()), 1u);
    asio::write(host.peers.back()->socket, asio::buffer(counted("a2", "forged")));
    script(counted("a2", "two"));  // seen before the next request is sent, without a turn of the loop
    const Outcome second = exchange(request("a2"));
    EXPECT_EQ(second.body, "two");
    EXPECT_FALSE(second.head->reused);
}

TEST_F(Exchanges, LateSurplusAnswerIsForeign) {
    host.onRequest = [](Peer& peer) {
        const bool first = peer.has("a1");
        peer.got.clear();
        peer.send(counted(first ? "a1" : "late", "x"));
    };
    EXPECT_TRUE(exchange(request("a1")).ended);
    const Outcome second = exchange(request("a2"));
    ASSERT_TRUE(second.failure);
    EXPECT_EQ(second.failure->kind, FailureKind::foreignAnswer);
    EXPECT_TRUE(second.failure->reused);
    EXPECT_TRUE(second.body.empty());
    EXPECT_EQ(upstream->connections(), 0u);
}

TEST_F(Exchanges, AcceptsAnswerToRequestWithoutId) {
    script("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(exchange(request("")).ended);
    script(counted("a1", "of another"));
    const Outcome foreign = exchange(request(""));
    ASSERT_TRUE(foreign.failure);
    EXPECT_EQ(foreign.failure->kind, FailureKind::foreignAnswer);
    script("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    Request lenient = request("a1");
    lenient.requireAttemptId = false;
    EXPECT_TRUE(exchange(lenient).ended);
}

TEST_F(Exchanges, DoesNotReuseConnectionThatHostEnded) {
    script(counted("a1", "x"));
    EXPECT_TRUE(exchange(request("a1")).ended);
    host.peers.back()->close();
    script(counted("a2", "x"));
    const Outcome second = exchange(request("a2"));  // no turn of the loop in between
    ASSERT_TRUE(second.ended);
    EXPECT_FALSE(second.head->reused);
    host.peers.back()->close();
    EXPECT_TRUE(until(io, [&] { return upstream->connections() == 0; }));
}

TEST_F(Exchanges, ClosesUnusedConnectionBeforeHostDoes) {
    UpstreamSettings settings;
    settings.idleWithoutKeepAlive = 20;
    settings.idleMargin = 980;
    upstream = std::make_unique<Upstream>(io, clock, settings);
    for (const std::string line : {"", "Keep-Alive: max=5, timeout=1\r\n"}) {
        script("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n" + line + "\r\n");
        EXPECT_TRUE(exchange(request("a1")).ended);
        EXPECT_EQ(upstream->unused(address()), 1u);
        EXPECT_TRUE(until(io, [&] { return upstream->connections() == 0; }));
        EXPECT_TRUE(until(io, [&] { return host.peers.back()->ended; }));
    }
}

TEST_F(Exchanges, CancelClosesAtOnceAndCallsNoHandler) {
    script("");
    Outcome outcome;
    const Handle handle = begin(outcome, request("a1"));
    ASSERT_TRUE(until(io, [&] { return host.requests == 1; }));
    EXPECT_TRUE(upstream->sent(handle));
    upstream->cancel(handle);
    EXPECT_EQ(upstream->connections(), 0u);
    EXPECT_FALSE(upstream->sent(handle));
    ASSERT_TRUE(until(io, [&] { return host.peers[0]->ended; }));
    upstream->cancel(handle);
    upstream->cancel(12345);
    EXPECT_FALSE(outcome.over());
    Outcome dialling;
    upstream->cancel(begin(dialling, request("a1")));
    runReadyHandlers(io);
    EXPECT_FALSE(dialling.over());
}

TEST_F(Exchanges, CancelWorksFromWithinHandlers) {
    script(answer("a1", "Transfer-Encoding: chunked\r\n", "1\r\na\r\n1\r\nb\r\n0\r\n\r\n"));
    Handle handle = 0;
    int heads = 0, chunks = 0, ends = 0;
    Handlers handlers;
    handlers.onHead = [&](const AnswerHead&) { ++heads; };
    handlers.onData = [&](std::string_view) {
        ++chunks;
        upstream->cancel(handle);
    };
    handlers.onEnd = [&] { ++ends; };
    handlers.onFailed = [&](const Failure&) { ++ends; };
    handle = upstream->send(address(), kConnections, request("a1"), kLong, handlers);
    ASSERT_TRUE(until(io, [&] { return chunks > 0; }));
    runReadyHandlers(io);
    EXPECT_EQ(chunks, 1);
    EXPECT_EQ(ends, 0);
    handlers.onHead = [&](const AnswerHead&) {
        ++heads;
        upstream->cancel(handle);
    };
    handle = upstream->send(address(), kConnections, request("a1"), kLong, handlers);
    ASSERT_TRUE(until(io, [&] { return heads == 2; }));
    runReadyHandlers(io);
    EXPECT_EQ(chunks, 1);
    EXPECT_EQ(ends, 0);
}

TEST_F(Exchanges, PassesOnDataBeforeTheEnd) {
    script(answer("a1", "Transfer-Encoding: chunked\r\n", "6\r\nid: 1\n\r\n"));
    Outcome outcome;
    begin(outcome, request("a1"));
    ASSERT_TRUE(until(io, [&] { return outcome.body == "id: 1\n"; }));
    EXPECT_FALSE(outcome.over());
    EXPECT_EQ(outcome.head->contentLength, std::nullopt);
    host.peers[0]->send("6\r\nid: 2\n\r\n0\r\nTrailer: x\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return outcome.ended; }));
    EXPECT_EQ(outcome.body, "id: 1\nid: 2\n");
    EXPECT_EQ(upstream->unused(address()), 1u);
}

TEST_F(Exchanges, ReadsAnswerToEndOfConnection) {
    script(answer("a1", "", "to the end"), true);
    const Outcome outcome = exchange(request("a1"));
    EXPECT_TRUE(outcome.ended);
    EXPECT_EQ(outcome.body, "to the end");
    EXPECT_EQ(upstream->connections(), 0u);
}

TEST_F(Exchanges, ReadsAnswersWithoutBody) {
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        const std::string id = status.substr(0, 3);
        script("HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n\r\n");
        const Outcome outcome = exchange(request(id));
        EXPECT_TRUE(outcome.ended && outcome.head->noBody);
        EXPECT_EQ(upstream->unused(address()), 1u);
    }
    script(answer("a1", "Content-Length: 5\r\n"));
    const Outcome head = exchange(request("a1", "HEAD"));
    EXPECT_TRUE(head.ended && head.head->noBody);
    EXPECT_EQ(head.head->contentLength, 5u);
}

TEST_F(Exchanges, SkipsInterimAnswers) {
    script("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
           counted("a0", "final"));
    const Outcome outcome = exchange(request("a0"));
    EXPECT_EQ(outcome.head->status, 200);
    EXPECT_EQ(outcome.body, "final");
    std::string endless;
    for (int i = 0; i < 20; ++i) endless += "HTTP/1.1 100 Continue\r\n\r\n";
    EXPECT_EQ(kindOf(endless, false), FailureKind::malformedAnswer);
}

TEST_F(Exchanges, CarriesLargeBodiesBothWays) {
    const auto body = [] {
        std::string text;
        for (int i = 0; text.size() < 4 * 1024 * 1024; ++i) text += std::to_string(i) + ",";
        return std::make_shared<const std::string>(std::move(text));
    }();
    bool chunked = false;
    host.onRequest = [&](Peer& peer) {
        if (!peer.got.ends_with(*body)) return;
        std::string chunks;
        for (std::size_t at = 0; at < body->size(); at += 100'000) {
            const std::string chunk = body->substr(at, 100'000);
            chunks += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
        }
        peer.got.clear();
        peer.send(chunked ? answer("a2", "Transfer-Encoding: chunked\r\n", chunks + "0\r\n\r\n")
                          : counted("a1", *body));
    };
    for (const bool coding : {false, true}) {
        chunked = coding;
        Request post = request(coding ? "a2" : "a1", "POST");
        post.body = body;
        const Outcome outcome = exchange(std::move(post));
        ASSERT_TRUE(outcome.ended);
        EXPECT_TRUE(outcome.body == *body);
        EXPECT_GT(outcome.chunks, 1u);
    }
    EXPECT_EQ(host.peers.size(), 1u);
}

// An answer before the complete request was read: accepted, but its connection is not reused.
TEST_F(Exchanges, AcceptsEarlyAnswer) {
    host.onRequest = [](Peer& peer) {
        peer.onData = nullptr;
        peer.slow = true;  // reads no more
        peer.send(counted("a1", "full"));
    };
    Request post = request("a1", "POST");
    post.body = std::make_shared<const std::string>(32 * 1024 * 1024, 'x');
    const Outcome outcome = exchange(std::move(post));
    ASSERT_TRUE(outcome.ended);
    EXPECT_EQ(outcome.body, "full");
    EXPECT_EQ(upstream->connections(), 0u);
}

TEST_F(Exchanges, PausesAndResumesReading) {
    const std::string body(8 * 1024 * 1024, 'x');
    script("");
    Outcome outcome;
    const Handle handle = begin(outcome, request("a1"));
    ASSERT_TRUE(until(io, [&] { return host.requests == 1; }));
    host.peers[0]->send(counted("a1", body));
    ASSERT_TRUE(until(io, [&] { return !outcome.body.empty(); }));
    upstream->pauseReading(handle);
    runReadyHandlers(io);
    const std::size_t before = outcome.body.size();
    runReadyHandlers(io);
    EXPECT_EQ(outcome.body.size(), before);
    EXPECT_LT(before, body.size());
    upstream->resumeReading(handle);
    ASSERT_TRUE(until(io, [&] { return outcome.ended; }));
    EXPECT_EQ(outcome.body.size(), body.size());
}

TEST_F(Exchanges, ClosesConnectionsOfRemovedHosts) {
    ScriptedHost other(io);
    script(counted("a1", "x"));
    other.onRequest = host.onRequest;
    EXPECT_TRUE(exchange(request("a1")).ended);
    EXPECT_TRUE(exchange(request("a1"), kLong, addressOf(other.endpoint())).ended);
    EXPECT_EQ(upstream->connections(), 2u);
    upstream->closeUnusedExceptTo({addressOf(other.endpoint())});
    EXPECT_EQ(upstream->connections(address()), 0u);
    EXPECT_EQ(upstream->connections(), 1u);
    script("");
    Outcome open;
    begin(open, request("a1"));
    ASSERT_TRUE(until(io, [&] { return host.requests == 2; }));
    upstream->drop(address());
    host.peers.back()->send(counted("a1", "x"));
    ASSERT_TRUE(until(io, [&] { return open.ended; }));
    EXPECT_EQ(upstream->connections(address()), 0u);
}

TEST_F(Exchanges, BoundsNumberOfHosts) {
    UpstreamSettings settings;
    settings.hosts = 2;
    upstream = std::make_unique<Upstream>(io, clock, settings);
    std::vector<std::unique_ptr<ScriptedHost>> hosts;
    script(counted("a1", "x"));
    for (int i = 0; i < 5; ++i) {
        hosts.push_back(std::make_unique<ScriptedHost>(io));
        hosts.back()->onRequest = host.onRequest;
        clock.set(clock.now() + 1);
        EXPECT_TRUE(exchange(request("a1"), kLong, addressOf(hosts.back()->endpoint())).ended);
        EXPECT_LE(upstream->connections(), 2u);
    }
    EXPECT_EQ(upstream->counts().evictedHosts, 3u);
    EXPECT_EQ(upstream->connections(addressOf(hosts[4]->endpoint())), 1u);
    EXPECT_EQ(upstream->connections(addressOf(hosts[3]->endpoint())), 1u);
}

TEST_F(Exchanges, CloseAllEndsOpenExchangesAsCancelled) {
    script("");
    Outcome open;
    begin(open, request("a1"));
    ASSERT_TRUE(until(io, [&] { return host.requests == 1; }));
    upstream->closeAll();
    ASSERT_TRUE(open.failure);
    EXPECT_EQ(open.failure->kind, FailureKind::cancelled);
    EXPECT_TRUE(open.failure->sent);
    EXPECT_EQ(upstream->connections(), 0u);
    Outcome unresponsive;
    begin(unresponsive, request("a1"));
    upstream.reset();
    runReadyHandlers(io);
    EXPECT_FALSE(unresponsive.over());
}

}  // namespace
}  // namespace beechpoint::upstream
