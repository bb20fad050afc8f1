// The rules of the deployments that a gateway can break, each met by peers that tempt it to: a host, a list or a client of the
// test does what the rule is about, and what arrives at hosts and clients is looked at.
#include <algorithm>
#include <string>

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

std::string attemptIdIn(const std::string& request) {
    const std::string name = "X-Attempt-Id: ";
    const auto begin = request.find(name) + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string answerTo(const std::string& request, const std::string& head, const std::string& body) {
    return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nContent-Length: {}\r\n\r\n{}", head,
                       attemptIdIn(request), body.size(), body);
}

constexpr const char* kServed = "200 OK\r\nX-Server-Seal: s";

class RulesTest : public GatewayTest {
protected:
    // Each request is answered alike; the requests are recorded.
    static void answerAll(ScriptedHost& at, std::vector<std::string>& seen, const std::string& head,
                          const std::string& body = "ok") {
        at.onRequest = [&seen, head, body](Peer& peer) {
            if (!peer.has("hi")) return;  // the body is still to come
            seen.push_back(peer.got);
            peer.send(answerTo(peer.got, head, body));
            peer.got.clear();
        };
    }
    // Asks so often, all at once, and waits for every answer.
    std::vector<PeerPtr> askMany(int times, const std::string& path) {
        std::vector<PeerPtr> clients;
        for (int i = 0; i < times; ++i) clients.push_back(ask(path, fmt::format("m{}-{}", ++round_, i)));
        EXPECT_TRUE(until(io, [&] {
            return std::all_of(clients.begin(), clients.end(), [](const PeerPtr& client) {
                return client->ended || client->has("\r\n\r\n");
            });
        }));
        runReadyHandlers(io);
        return clients;
    }
    static long served(const std::vector<PeerPtr>& clients) {
        return std::count_if(clients.begin(), clients.end(),
                             [](const PeerPtr& client) { return client->has("HTTP/1.1 200"); });
    }

    ScriptedHost second{io};
    std::vector<std::string> seen, seenBySecond;

private:
    int round_ = 0;
};

TEST_F(RulesTest, MixedAnswerToAnotherRequestReachesNoClient) {
    host.onRequest = [](Peer& peer) {
        peer.send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
    EXPECT_FALSE(client->has("HTTP/1.1 2"));
}

TEST_F(RulesTest, MixedSurplusAnswerReachesNoOtherClient) {
    host.onRequest = [&](Peer& peer) {
        if (!peer.has("hi")) return;
        const std::string request = peer.got;
        peer.got.clear();
        peer.send(answerTo(request, kServed, "first") + answerTo(request, kServed, "surplus"));
    };
    start();
    for (const char* id : {"x1", "x2", "x3"}) {
        const PeerPtr client = ask("/p/x", id);
        ASSERT_TRUE(until(io, [&] { return client->has("first"); }));
        EXPECT_FALSE(client->has("surplus"));
    }
}

TEST_F(RulesTest, MixedSuccessWithoutSealIsNotRelayed) {
    answerAll(host, seen, "200 OK");
    start();
    EXPECT_EQ(served(askMany(1, "/p/x")), 0);
    EXPECT_EQ(seen.size(), 1u);
}

TEST_F(RulesTest, MixedTruncatedBodyDoesNotLookComplete) {
    host.onRequest = [](Peer& peer) {
        peer.send(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 10\r\n\r\nhalf");
        peer.close();
    };
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->ended; }));
    const bool success = client->has("HTTP/1.1 200");
    const auto body = client->got.find("\r\n\r\n");
    EXPECT_TRUE(!success || client->got.size() - body - 4 < 10);
}

// An answer without a length ends with its connection; the reset of that is no end.
TEST_F(RulesTest, MixedUnframedAnswerIsCompleteOnlyAfterCleanClose) {
    const std::string begun = std::string(kHead) + "Connection: close\r\n\r\nabc";
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) {
        if (!peer.has("hi")) return;
        peer.got.clear();
        hostSide = peer.shared_from_this();
        peer.send(begun);
    };
    start();
    for (const char* path : {"/p/x", "/s/x"}) {
        const PeerPtr complete = ask(path);
        ASSERT_TRUE(until(io, [&] { return complete->has("abc"); })) << path;
        EXPECT_FALSE(complete->has("0\r\n\r\n")) << path;
        hostSide->close();
        EXPECT_TRUE(until(io, [&] { return complete->has("0\r\n\r\n"); })) << path;
        const PeerPtr truncated = ask(path);
        ASSERT_TRUE(until(io, [&] { return truncated->has("abc"); })) << path;
        hostSide->reset();
        ASSERT_TRUE(until(io, [&] { return truncated->ended; })) << path;
        EXPECT_FALSE(truncated->has("0\r\n\r\n")) << path;
    }
    const PeerPtr old = connectTo(io, gateway->frontEndpoint());
    old->send("POST /p/x HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi");
    ASSERT_TRUE(until(io, [&] { return old->has("abc"); }));
    hostSide->reset();
    ASSERT_TRUE(until(io, [&] { return old->ended; }));
    EXPECT_TRUE(old->wasReset);  // its answer lasts until a proper close
}

TEST_F(RulesTest, UnaskedPromptHeadersAreForwardedUnchanged) {
    answerAll(host, seen, kServed);
    start();
    std::string prefix = "5c1e07a2:800, 91bd3f06:410,,odd:x,";
    for (int i = 0; i < 200; ++i) prefix += fmt::format("e4402b{:x}:25,", i);
    prefix += "last:1";
    const std::string headers =
        "X-Model-Id: m two\r\nX-Token-Usage: 1460, 80\r\nX-Prompt-Prefix: " + prefix + "\r\n";
    const PeerPtr client = ask("/p/x", "a1", headers);
    ASSERT_TRUE(until(io, [&] { return client->has("HTTP/1.1 200"); })) << client->got;
    ASSERT_EQ(seen.size(), 1u);
    EXPECT_NE(seen[0].find(headers), std::string::npos) << seen[0];
}

// The host answers before it has read the body, keeps the connection and reads on later.
TEST_F(RulesTest, UnaskedMissingBodyIsNotReplaced) {
    constexpr std::size_t kSize = 4'000'000;
    PeerPtr early;
    host.onRequest = [&](Peer& peer) {
        if (early && early.get() != &peer) return peer.send(answerTo(peer.got, kServed, "second"));
        if (early) return;
        early = peer.shared_from_this();
        early->slow = true;
        early->send(answerTo(early->got, kServed, "first"));
    };
    start();
    const PeerPtr first = connectTo(io, gateway->frontEndpoint());
    first->send(fmt::format(
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: {}\r\n\r\n{}", kSize,
        std::string(kSize, 'b')));
    ASSERT_TRUE(until(io, [&] { return first->has("first"); }));
    const PeerPtr next = ask("/p/x", "a2");
    runReadyHandlers(io);
    early->slow = false;
    early->read();
    ASSERT_TRUE(until(io, [&] { return next->has("second") || early->ended || early->has("a2"); }));
    const std::string body = early->got.substr(early->got.find("\r\n\r\n") + 4, kSize);
    EXPECT_EQ(body.find_first_not_of('b'), std::string::npos);
}

TEST_F(RulesTest, DeniedNoRequestBeforeConfigurationIsKnown) {
    answerAll(host, seen, kServed);
    control.status = control::PollStatus::notFresh;
    launch();
    const std::string large(1'000'000, 'b');
    for (const std::string& body : {std::string("hi"), large}) {
        const PeerPtr client = connectTo(io, gateway->frontEndpoint());
        client->send(
            fmt::format("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Prompt-Prefix: "
                        "{}\r\nContent-Length: {}\r\n\r\n{}",
                        std::string(20'000, 'p'), body.size(), body));
        ASSERT_TRUE(until(io, [&] { return client->has("\r\n\r\n"); }));
        EXPECT_TRUE(client->has("HTTP/1.1 503")) << client->got;
        EXPECT_TRUE(client->has("Retry-After: "));
    }
    EXPECT_EQ(seen.size(), 0u);
}

TEST_F(RulesTest, UnaskedAmbiguousFramingReachesNoHost) {
    answerAll(host, seen, kServed);
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    client->send(
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /p/y HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: "
        "a2\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return client->has("HTTP/1.1 400"); }));
    ASSERT_TRUE(until(io, [&] { return client->ended; }));
    EXPECT_EQ(host.requests, 0u);
}

TEST_F(RulesTest, UnaskedRequestInsideBodyStaysBody) {
    answerAll(host, seen, kServed);
    start();
    const std::string body = "POST /p/y HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a2\r\n\r\nhi";
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    client->send(fmt::format(
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: {}\r\n\r\n{}",
        body.size(), body));
    ASSERT_TRUE(until(io, [&] { return client->has("HTTP/1.1 200"); }));
    ASSERT_EQ(seen.size(), 1u);
    EXPECT_EQ(seen[0].substr(seen[0].find("\r\n\r\n") + 4), body);
}

TEST_F(RulesTest, TwiceRequestThatMayHaveRunIsNotRetried) {
    addHost("i-2", second);
    const auto resets = [](Peer& peer) {
        if (peer.has("hi")) peer.reset();
    };
    host.onRequest = second.onRequest = resets;
    start();
    const PeerPtr client = ask("/p/x");
    ASSERT_TRUE(until(io, [&] { return client->ended || client->has("\r\n\r\n"); }));
    EXPECT_EQ(host.requests + second.requests, 1u);
    // REFUSED: and no status promises that it has not run.
    for (const char* promise : {"HTTP/1.1 408", "HTTP/1.1 421", "HTTP/1.1 429", "HTTP/1.1 503"})
        EXPECT_FALSE(client->has(promise));
}

TEST_F(RulesTest, RefusedIsAnsweredWhenHostProvedNotExecuted) {
    answerAll(host, seen, "503 Busy\r\nX-Not-Executed: 1", "");
    start();
    const auto clients = askMany(1, "/p/x");
    EXPECT_TRUE(clients[0]->has("HTTP/1.1 503"));
    EXPECT_TRUE(clients[0]->has("Retry-After: "));
}

// A failure bears a host's seal only together with the status that the host gave.
TEST_F(RulesTest, MixedFailureBearsTheSealWithItsOwnStatusOnly) {
    answerAll(host, seen, "500 Failed\r\nX-Server-Seal: s", "no");
    start();
    const auto failed = askMany(1, "/p/x");
    EXPECT_TRUE(failed[0]->has("HTTP/1.1 500"));
    EXPECT_TRUE(failed[0]->has("X-Server-Seal: s"));
    answerAll(host, seen, "503 Busy\r\nX-Server-Seal: s", "no");
    const auto replaced = askMany(1, "/p/x");
    EXPECT_TRUE(replaced[0]->has("HTTP/1.1 502"));
    EXPECT_FALSE(replaced[0]->has("X-Server-Seal"));
}

TEST_F(RulesTest, RouteHostThatIsAnotherInstanceNowDoesNotServe) {
    addHost("i-2", second);
    answerAll(host, seen, "421 Misdirected\r\nX-Not-Executed: 1", "");
    answerAll(second, seenBySecond, kServed);
    start();
    int served = 0;
    for (int i = 0; i < 6; ++i) served += askMany(1, "/s/x")[0]->has("HTTP/1.1 200");
    EXPECT_EQ(served, 6);
    EXPECT_EQ(seenBySecond.size(), 6u);
    EXPECT_LE(seen.size(), 1u) << "an instance that has ended is not tried again";
    for (const std::string& request : seenBySecond)
        EXPECT_NE(request.find("X-Target-Instance: i-2\r\n"), std::string::npos);
}

TEST_F(RulesTest, DrainHostThatIsDrainingGetsNoRequest) {
    addHost("i-2", second);
    answerAll(host, seen, kServed);
    answerAll(second, seenBySecond, kServed);
    start();
    control.hosts[0].state = host_discovery::HostState::draining;
    publish();
    EXPECT_EQ(served(askMany(12, "/p/x")), 12);
    EXPECT_EQ(seen.size(), 0u);
    EXPECT_EQ(seenBySecond.size(), 12u);
}

TEST_F(RulesTest, EvacEvacuatedZoneGetsNoRequest) {
    addHost("i-2", second, "z2");
    answerAll(host, seen, kServed);
    answerAll(second, seenBySecond, kServed);
    start();
    control.table["evacuated/z1"] = "1";
    publish();
    EXPECT_EQ(served(askMany(12, "/p/x")), 12);
    EXPECT_EQ(seen.size(), 0u);
}

TEST_F(RulesTest, HomeRequestStaysInItsRegions) {
    addHost("i-2", second, "z2");
    addRoute("home", "/h/", R"("type":"non_idempotent","max_attempts":2,"allowed_regions":["r1"])");
    answerAll(host, seen, kServed);
    answerAll(second, seenBySecond, kServed);
    start();
    EXPECT_EQ(served(askMany(12, "/h/x")), 12);
    control.hosts[0].state = host_discovery::HostState::draining;
    publish();
    EXPECT_EQ(served(askMany(3, "/h/x")), 0);
    EXPECT_EQ(seenBySecond.size(), 0u);
}

TEST_F(RulesTest, ConfigNewestRoutesApplyAndStay) {
    addHost("i-2", second, "z1", "other");
    control.table["service/other"] =
        R"(1 {"name":"other","health_check_path":"/health","max_connections":50})";
    answerAll(host, seen, kServed);
    answerAll(second, seenBySecond, kServed);
    start();
    EXPECT_EQ(served(askMany(3, "/p/x")), 3);
    EXPECT_EQ(seen.size(), 3u);
    const Table before = control.table;
    auto& route = control.table["route/plain"];
    route.replace(route.find(R"("backend":"llm")"), 15, R"("backend":"other")");
    control.table.erase("route/safe");
    publish();
    EXPECT_EQ(served(askMany(3, "/p/x")), 3);
    EXPECT_EQ(seenBySecond.size(), 3u);
    EXPECT_TRUE(askMany(1, "/s/x")[0]->has("HTTP/1.1 404"));
    // A member that is behind tells the older table: it changes nothing.
    control.table = before;
    control.number = 1;
    gateway->reload(settings);
    EXPECT_TRUE(askMany(1, "/s/x")[0]->has("HTTP/1.1 404"));
    EXPECT_EQ(seen.size(), 3u);
}

TEST_F(RulesTest, BudgetRetriesStayInRatioToRequests) {
    settings.timingBounds.retryBudgetSlack = 0;
    addHost("i-2", second);
    answerAll(host, seen, "500 Broken", "");
    answerAll(second, seenBySecond, "500 Broken", "");
    start();
    constexpr int kRequests = 60;
    askMany(kRequests, "/s/x");
    const auto arrivals = static_cast<double>(seen.size() + seenBySecond.size());
    EXPECT_GE(arrivals, kRequests);
    EXPECT_LE(arrivals, kRequests * (1 + settings.timingBounds.retryBudgetRatio));
}

TEST_F(RulesTest, OrderResumedStreamHasEachEventOnce) {
    addHost("i-2", second);
    bool truncated = false;
    host.onRequest = second.onRequest = [&](Peer& peer) {
        const std::string head =
            std::string(kHead) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!std::exchange(truncated, true)) {
            peer.send(head + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n6\r\nid: 3\n\r\n");
            peer.close();
            return;
        }
        peer.send(head + "f\r\nid: 2\ndata: b\n\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
    };
    start();
    const PeerPtr client = ask("/r/x");
    ASSERT_TRUE(until(io, [&] { return client->has("0\r\n\r\n"); }));
    std::string events;
    for (std::size_t at = 0; (at = client->got.find("data: ", at)) != std::string::npos; at += 6)
        events += client->got[at + 6];
    EXPECT_EQ(events, "abc");
    EXPECT_EQ(client->got.find("id: 3\n"), client->got.rfind("id: 3\n"));
}

TEST_F(RulesTest, FailbackWarmingUpHostGetsNoMoreThanItsRate) {
    settings.timingBounds.warmupOvershoot = 1.5;
    settings.timingBounds.warmupSlack = 1;
    control.table["service/llm"] =
        R"(1 {"name":"llm","health_check_path":"/health","max_connections":50,"warmup_s":30,"warmup_per_s":2})";
    control.hosts[0].warmupLeft = 30'000;
    answerAll(host, seen, kServed);
    start();
    askMany(30, "/p/x");
    EXPECT_LE(seen.size(), 4u);  // 2 x 1.5 + 1
}

TEST_F(RulesTest, LostRequestOnKeptAliveConnectionIsServedWhileDraining) {
    answerAll(host, seen, kServed);
    start();
    const PeerPtr client = ask("/p/x", "k1");
    ASSERT_TRUE(until(io, [&] { return client->has("ok"); }));
    bool ended = false;
    gateway->stop([&] { ended = true; });
    client->got.clear();
    client->send("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: k2\r\nContent-Length: 2\r\n\r\nhi");
    ASSERT_TRUE(until(io, [&] { return client->has("ok"); }));
    EXPECT_TRUE(client->has("Connection: close"));
    EXPECT_EQ(served(askMany(1, "/p/x")), 1);  // of a client that holds an old answer of the directory
    ASSERT_TRUE(until(io, [&] { return ended; }));
}

TEST_F(RulesTest, RecoverServesOnWithoutControl) {
    answerAll(host, seen, kServed);
    start();
    control.status = control::PollStatus::notFresh;
    control.publish();
    EXPECT_EQ(served(askMany(3, "/p/x")), 3);
    EXPECT_TRUE(gateway->ready());
    control.status = control::PollStatus::ok;
    control.table["evacuated/z1"] = "1";
    ++control.number;
    ASSERT_TRUE(until(io, [&] { return control.lastPoll->position == Position{1, control.number}; }));
    EXPECT_EQ(served(askMany(1, "/p/x")), 0);
}

}  // namespace
}  // namespace beechpoint::gateway
