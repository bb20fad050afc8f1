// The server of client connections: kept connections, bad requests, limits, and clients that send too
// slowly or too much.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

TEST(Server, AnswersRequestsOnKeptConnectionWhenSplitAndPipelined) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    client.send(query("t1", {0, 1}) + query("t2", {2}).substr(0, 40));
    runUntil(fixture.io, [&] { return client.answers.size() == 1; });
    client.send(query("t2", {2}).substr(40) + query("t3", {3}));
    runUntil(fixture.io, [&] { return client.answers.size() == 3; });
    EXPECT_EQ(client.answers[0].status, 200);
    EXPECT_TRUE(client.answers[0].has(R"("whole":true)"));
    EXPECT_TRUE(client.answers[0].has(R"({"partition":1,"value":"v1"})"));
    EXPECT_TRUE(client.answers[2].has(R"("value":"v3")"));
    EXPECT_EQ(client.request("GET /up HTTP/1.1\r\n\r\n").status, 200);
    EXPECT_TRUE(client.request("GET /counters HTTP/1.1\r\n\r\n").has("answeredWhole=3"));
    EXPECT_FALSE(client.request("GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").keepAlive);
    runUntil(fixture.io, [&] { return client.connection->ended; });
}

TEST(Server, AnswersErrorStatusAndSendsNothingWhenRequestIsBad) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses());
    const std::pair<std::string, int> cases[] = {
        {post("/pallet-lookup/k", "", "{"), 400},
        {post("/no-such-class/k", "X-Qos: no-such-class\r\n", "{}"), 400},
        {query("t", {9}), 400},
        {query("t", {1, 1}), 400},
        {"GET /pallet-lookup/k HTTP/1.1\r\n\r\n", 405},
        {post("/up", "", ""), 405},
        {"GET /nowhere HTTP/1.1\r\n\r\n", 404},
        {post("/pallet-lookup/k", "Padding: x\r\n", std::string(65537, 'x')), 413},
        {"nonsense\r\n\r\n", 400}};
    for (const auto& [bytes, status] : cases) {
        TestClient client(fixture.io, fixture.gatherer->endpoint());
        EXPECT_EQ(client.request(bytes).status, status);
    }
    EXPECT_EQ(fixture.count(Counter::queriesTaken), 0);
    ASSERT_TRUE(hosts.first.frames.empty());
    ASSERT_TRUE(hosts.second.frames.empty());
}

// Hundreds of connections without a request, or with half of one, keep no client out, and are closed within
// 3 s.
TEST(Server, ClosesConnectionsWithoutARequestWhenOthersNeedTheirSlots) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses(), [](Config& c) { c.sockets = 48; });  // 16 of them for clients
    std::vector<std::unique_ptr<TestClient>> silent;
    const auto add = [&](const std::string& text) {
        fixture.clock.set(fixture.clock.now() + 10);
        silent.push_back(std::make_unique<TestClient>(fixture.io, fixture.gatherer->endpoint()));
        if (!text.empty()) silent.back()->send(text);
        runReady(fixture.io);
    };
    TestClient regular(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(regular.request(query("t0", {0, 1})).status, 200);
    for (int i = 0; i < 60; ++i) add(i % 2 == 0 ? "" : query("half", {0}).substr(0, 80));
    TestClient late(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(late.request(query("t1", {0, 1})).status, 200);
    EXPECT_EQ(regular.request(query("t2", {2})).status, 200);
    runUntil(fixture.io, [&] { return silent[0]->connection->ended; });
    EXPECT_FALSE(regular.connection->ended);
    EXPECT_LE(fixture.gatherer->clients(), 16);
    fixture.clock.set(fixture.clock.now() + 2300);  // of 3 s from their connecting
    runUntil(fixture.io, [&] {
        return std::all_of(silent.begin(), silent.end(), [](const auto& c) { return c->connection->ended; });
    });
    // Who sent half a request is told why.
    ASSERT_TRUE(std::any_of(silent.begin(), silent.end(), [](const auto& c) {
        return c->answers.size() == 1 && c->answers[0].status == 408 && !c->answers[0].keepAlive;
    }));
    EXPECT_FALSE(regular.connection->ended);
    fixture.clock.set(fixture.clock.now() + 11'000);  // between requests for too long
    runUntil(fixture.io, [&] { return regular.connection->ended && fixture.gatherer->clients() == 0; });
}

// From half of the slots on, an answer ends its connection; else later clients would find no slot.
TEST(Server, ClosesAfterAnAnswerWhenHalfOfTheSlotsAreInUse) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses(), [](Config& c) { c.sockets = 48; });  // 16 of them for clients
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<TestClient>(fixture.io, fixture.gatherer->endpoint()));
        const Answer answer = clients.back()->request(query("t" + std::to_string(i), {0}));
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.keepAlive, i < 8);
        if (!answer.keepAlive) clients.back()->connection->close();
        if (i >= 8) runUntil(fixture.io, [&] { return fixture.gatherer->clients() == 8; });
    }
    for (int i = 0; i < 8; ++i) EXPECT_FALSE(clients[static_cast<std::size_t>(i)]->connection->ended);
}

// Closing while a client still sends would reset its connection before it reads the answer.
TEST(Server, AnswersTooLargeRequestWhenItsClientStillSends) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    client.send("POST /pallet-lookup/k HTTP/1.1\r\nContent-Length: 8388608\r\n\r\n");
    const std::string chunk(32768, 'x');
    for (int i = 0; i < 256; ++i) {
        asio::error_code error;
        asio::write(client.connection->socket, asio::buffer(chunk), error);
        ASSERT_FALSE(error);
        runReady(fixture.io);
    }
    runUntil(fixture.io, [&] { return client.answers.size() == 1; });
    EXPECT_EQ(client.answers[0].status, 413);
    EXPECT_FALSE(client.answers[0].keepAlive);
}

// A pipelined request waits behind the answer before it, while its own time passes already.
TEST(Server, CountsTimeInTheBufferWhenRequestWaitsBehindAnother) {
    TwoFrameHosts hosts;
    std::vector<StubFrameHost::Part> pendingParts;
    hosts.onPart([&](const StubFrameHost::Part& part) { pendingParts.push_back(part); });
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    const Millis began = fixture.clock.now();
    client.send(query("t1", {0}) + query("t2", {0}, 200));
    runUntil(fixture.io, [&] { return pendingParts.size() == 1 && fixture.clock.now() - began > 220; });
    pendingParts[0].answer("done", "v");
    runUntil(fixture.io, [&] { return client.answers.size() == 2; });
    EXPECT_EQ(client.answers[0].status, 200);
    EXPECT_EQ(client.answers[1].status, 429);
    ASSERT_EQ(pendingParts.size(), 1);
}

// Far more ahead than is kept costs a client its connection, after its answer.
TEST(Server, ClosesAfterTheAnswerWhenClientSendsFarAhead) {
    UnansweringHost host;
    auto& pendingParts = host.pendingParts;
    GathererFixture fixture({host.address()}, useOneHostAndConnection);
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    client.send(query("t", {0}));
    runUntil(fixture.io, [&] { return pendingParts.size() == 1; });
    for (int i = 0; i < 100; ++i) {
        client.send(std::string(20'000, 'x'));
        runReady(fixture.io);
    }
    EXPECT_EQ(fixture.count(Counter::clientsFarAhead), 1);
    pendingParts[0].answer("done", "v");
    runUntil(fixture.io, [&] { return client.connection->ended; });
    ASSERT_EQ(client.answers.size(), 1);
    EXPECT_EQ(client.answers[0].status, 200);
    EXPECT_FALSE(client.answers[0].keepAlive);
}

// The same while the answer goes out: what came by then is incomplete, and is no request.
TEST(Server, DropsIncompleteRequestsWhenClientSendsFarAheadDuringItsAnswer) {
    StubFrameHost host(eventLoop());
    std::vector<StubFrameHost::Part> pendingParts;
    host.onPart = [&](const StubFrameHost::Part& part) {
        if (part.id.starts_with("t."))
            pendingParts.push_back(part);
        else
            part.answer("done", "v");
    };
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.settings.shards = 64;
        c.connections.calls = 100;
    });
    {
        TestClient warm(fixture.io, fixture.gatherer->endpoint());  // so that a query of many parts is let in
        for (int i = 0; i < 50; ++i) EXPECT_EQ(warm.request(query("w" + std::to_string(i), {0})).status, 200);
    }
    tcp::socket client(fixture.io, kAnyPort.protocol());
    client.set_option(asio::socket_base::receive_buffer_size(4096));
    client.connect(fixture.gatherer->endpoint());
    const auto sendAhead = [&](const std::string& text) {
        asio::write(client, asio::buffer(text));
        runReady(fixture.io);
    };
    std::vector<int> shards(64);  // more than the system's buffers take
    std::iota(shards.begin(), shards.end(), 0);
    sendAhead(query("t", shards));
    runUntil(fixture.io, [&] { return pendingParts.size() == shards.size(); });
    for (const auto& part : pendingParts) {
        part.answer("done", std::string(120'000, 'v'));
        runReady(fixture.io);
    }
    runUntil(fixture.io, [&] { return fixture.count(Counter::answeredWhole) == 51; });
    runReady(fixture.io);
    EXPECT_EQ(fixture.gatherer->clients(), 1);
    EXPECT_EQ(fixture.count(Counter::clientsFarAhead), 0);
    for (int i = 0; i < 30; ++i)
        sendAhead(query("u" + std::to_string(i), {0}, 3000, std::string(20'000, 'x')));
    EXPECT_EQ(fixture.count(Counter::clientsFarAhead), 1);
    client.non_blocking(true);
    std::string answers, chunk(65536, '\0');
    for (asio::error_code error; error != asio::error::eof;) {
        answers.append(chunk, 0, client.read_some(asio::buffer(chunk), error));
        ASSERT_TRUE(!error || error == asio::error::would_block || error == asio::error::eof);
        runReady(fixture.io);
    }
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 200"));
    EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_TRUE(answers.ends_with("\"whole\":true}"));
    EXPECT_EQ(fixture.count(Counter::queriesTaken), 51);
}

// A request's rest is in the socket when the time for it ends: this side is the late one.
TEST(Server, ReadsRestOfARequestWhenItArrivedBeforeALateTimer) {
    UnansweringHost host;
    GathererFixture fixture({host.address()}, useOneHostAndConnection);
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    const std::string text =
        query("t", {0}, 10'000'000, std::string(20'000, 'x'));  // more than one read brings
    client.send(text.substr(0, 100));
    runReady(fixture.io);
    fixture.clock.set(fixture.clock.now() + 2100);
    blockEventLoop(std::chrono::milliseconds(300));  // the check of all connections is due
    client.send(text.substr(100));
    runUntil(fixture.io, [&] { return host.pendingParts.size() == 1 || !client.answers.empty(); });
    ASSERT_TRUE(client.answers.empty());
}

TEST(Server, AnswersTimeOutWhenARequestsRestNeverEnds) {
    UnansweringHost host;
    GathererFixture fixture({host.address()}, useOneHostAndConnection);
    TestClient endless(fixture.io, fixture.gatherer->endpoint());
    endless.send("POST /pallet-lookup/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    runReady(fixture.io);
    fixture.clock.set(fixture.clock.now() + 4100);
    runUntil(fixture.io, [&] {
        if (endless.answers.empty()) endless.send("1;" + std::string(5000, 'x') + "\r\nx\r\n");
        return !endless.answers.empty();
    });
    EXPECT_EQ(endless.answers[0].status, 408);
}

}  // namespace
