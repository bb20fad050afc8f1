// The listener as a gateway uses it: strict reading, limits, streamed answers.
#include <thread>

#include "server_fixture.hpp"

namespace beechpoint {
namespace {

TEST_F(StrictServer, RejectsMalformedRequestAndCloses) {
    const std::pair<std::string, std::string> cases[] = {
        {kPost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + kGet, " 400 "},
        {kPost + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + kGet, " 400 "},
        {kPost + "X: y\r\n folded\r\n\r\n" + kGet, " 400 "},
        {kPost + "Content-Length : 3\r\n\r\nabc" + kGet, " 400 "},
        {kPost + "X: " + std::string(20'000, 'x') + "\r\n\r\n", " 431 "},
        {kPost + "Content-Length: 6000000\r\n\r\n", " 413 "}};
    for (const auto& [bytes, status] : cases) {
        const PeerPtr peer = ask(bytes);
        ASSERT_TRUE(until(io, [&] { return peer->ended; })) << status;
        EXPECT_TRUE(peer->has(status)) << peer->got;
        EXPECT_TRUE(peer->has("Connection: close")) << peer->got;
        EXPECT_EQ(peer->got.find("HTTP/1.1", 1), std::string::npos) << "more than one answer: " << peer->got;
    }
    EXPECT_TRUE(received.empty());
}

// Closing with bytes unread would reset the connection, and the client would lose the answer with it.
TEST_F(StrictServer, SendsCompleteRejectionToClientThatIsStillSending) {
    constexpr std::size_t kBody = 24 * 1024 * 1024;  // more than the systems hold between them
    const PeerPtr peer = ask(kPost + "Content-Length: " + std::to_string(kBody) + "\r\n\r\n");
    peer->send(std::string(kBody, 'x'));
    ASSERT_TRUE(until(io, [&] { return peer->has("message too large\n"); }));
    ASSERT_TRUE(until(io, [&] { return peer->ended; }));
    EXPECT_FALSE(peer->wasReset);
    EXPECT_EQ(peer->got.find("HTTP/1.1", 1), std::string::npos) << "more than one answer";
    EXPECT_TRUE(received.empty());
}

// An answer that is given late, or once more, is for the request in hand or for none.
TEST_F(StrictServer, DropsAnswerGivenTwiceOrLate) {
    PeerPtr peer;
    const ConnectionPtr first = receive(kGet, &peer);
    first->respond(200, "text/plain", "first");
    first->respond(200, "text/plain", "once more");
    EXPECT_FALSE(first->beginStream(200, "", 1));
    ASSERT_TRUE(until(io, [&] { return peer->has("first"); }));
    first->respond(200, "text/plain", "once more");
    const std::size_t before = received.size();
    peer->send(kGet);
    ASSERT_TRUE(until(io, [&] { return received.size() > before; }));
    ASSERT_EQ(received.back().connection, first);
    first->respond(200, "text/plain", "second");
    ASSERT_TRUE(until(io, [&] { return peer->has("second"); }));
    EXPECT_FALSE(peer->has("once more"));

    PeerPtr leaver, other;
    const ConnectionPtr left = receive(kGet, &leaver);
    leaver->reset();
    ASSERT_TRUE(until(io, [&] { return !left->waiting(); }));
    const ConnectionPtr next = receive(kGet, &other);
    ASSERT_NE(left, next);
    left->respond(200, "text/plain", "late");
    next->respond(200, "text/plain", "own");
    ASSERT_TRUE(until(io, [&] { return other->has("own"); }));
    EXPECT_FALSE(other->has("late"));
}

// The limits change while one client's request is half read and another's is in hand.
TEST_F(StrictServer, AnswersRequestInFlightWhenLimitsShrink) {
    PeerPtr inHand;
    const std::string body(10'000, 'x');
    const std::string complete = kPost + "Content-Length: 10000\r\n\r\n" + body;
    const ConnectionPtr handled = receive(complete, &inHand);
    const PeerPtr half = ask(complete.substr(0, complete.size() - 1));
    runReadyHandlers(io);
    net::HttpLimits small = limits();
    small.body = 5000;
    server->limits(small);
    half->send(complete.substr(complete.size() - 1));
    ASSERT_TRUE(until(io, [&] { return half->ended; }));
    EXPECT_TRUE(half->has(" 413 ")) << half->got;
    EXPECT_EQ(received.size(), 1u);  // the incomplete one was not handled
    handled->respond(200, "text/plain", "own");
    ASSERT_TRUE(until(io, [&] { return inHand->has("own"); }));
}

TEST_F(StrictServer, AcceptsLargeBodiesInBothCodings) {
    std::string body;
    for (int i = 0; body.size() < 4 * 1024 * 1024; ++i) body += std::to_string(i) + ",";
    std::string chunks;
    for (std::size_t at = 0, size = 1; at < body.size(); at += size, size = size * 3 % 70'001 + 1) {
        const std::string chunk = body.substr(at, size);
        chunks += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    receive(kPost + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body);
    EXPECT_EQ(received.back().body, body);
    receive(kPost + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n");
    EXPECT_EQ(received.back().body, body);
}

TEST_F(StrictServer, ServesPipelinedRequestsInOrderOneAtATime) {
    const PeerPtr peer = ask(kPost + "Content-Length: 3\r\n\r\none" + kPost +
                             "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n" + kGet);
    ASSERT_TRUE(until(io, [&] { return received.size() == 1; }));
    runReadyHandlers(io);
    ASSERT_EQ(received.size(), 1u);
    for (std::size_t i = 0; i < 3; ++i) {
        ASSERT_TRUE(until(io, [&] { return received.size() == i + 1; }));
        const ConnectionPtr connection = received[i].connection;
        ASSERT_TRUE(connection->beginStream(200, "", std::nullopt));
        connection->writeSome("answer" + std::to_string(i));
        connection->endStream();
    }
    ASSERT_TRUE(until(io, [&] { return peer->has("answer2\r\n0\r\n\r\n"); }));
    EXPECT_EQ(received[0].body, "one");
    EXPECT_EQ(received[1].body, "two");
    EXPECT_LT(peer->got.find("answer0"), peer->got.find("answer1"));
    EXPECT_LT(peer->got.find("answer1"), peer->got.find("answer2"));
    EXPECT_FALSE(peer->ended);
}

// Answers given within the handler do not disturb the reading of what came behind.
TEST_F(StrictServer, AnswersWithinTheHandler) {
    onRequest = [](const ConnectionPtr& c) {
        ASSERT_TRUE(c->beginStream(200, "", 2));
        c->writeSome("ok");
        c->endStream();
    };
    const PeerPtr peer = ask(kGet + kPost + "Content-Length: 1\r\n\r\nx" + kGet);
    ASSERT_TRUE(until(io, [&] { return received.size() == 3; }));
    EXPECT_EQ(received[1].body, "x");
    ASSERT_TRUE(until(io, [&] {
        std::size_t answers = 0;
        for (auto at = peer->got.find("\r\n\r\nok"); at != std::string::npos;
             at = peer->got.find("\r\n\r\nok", at + 1))
            ++answers;
        return answers == 3;
    }));
}

TEST_F(StrictServer, AnswersExpectContinue) {
    const PeerPtr peer = ask(kPost + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return peer->has("HTTP/1.1 100 Continue\r\n\r\n"); }));
    peer->send("abc");
    ASSERT_TRUE(until(io, [&] { return received.size() == 1; }));
    EXPECT_EQ(received[0].body, "abc");
    received[0].connection->respond(200, "text/plain", "fine");
    ASSERT_TRUE(until(io, [&] { return peer->has("fine"); }));
    const PeerPtr large = ask(kPost + "Expect: 100-continue\r\nContent-Length: 6000000\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return large->ended; }));
    EXPECT_TRUE(large->has(" 413 "));
    EXPECT_FALSE(large->has(" 100 "));
}

TEST_F(StrictServer, AnswersHeadRequestWithoutBody) {
    PeerPtr peer;
    ConnectionPtr connection = receive("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", &peer);
    ASSERT_TRUE(connection->beginStream(200, "", 5));
    connection->writeSome("12345");
    connection->endStream();
    ASSERT_TRUE(until(io, [&] { return peer->has("Content-Length: 5\r\n\r\n"); }));
    peer->send("HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return received.size() == 2; }));
    connection->respond(404, "text/plain", "nothing here");
    ASSERT_TRUE(until(io, [&] { return peer->has("Content-Length: 12\r\n\r\n"); }));
    EXPECT_TRUE(peer->got.ends_with("\r\n\r\n")) << peer->got;
    EXPECT_FALSE(peer->has("12345"));
}

TEST_F(StrictServer, AppliesChangedLimitsWhileItRuns) {
    PeerPtr first;
    ConnectionPtr connection = receive(kPost + "Content-Length: 10\r\n\r\n0123456789", &first);
    net::HttpLimits smaller = limits();
    smaller.body = 9;
    smaller.head = 100;
    server->limits(smaller);
    connection->respond(200, "text/plain", "fine");
    ASSERT_TRUE(until(io, [&] { return first->has("fine"); }));
    first->send(kPost + "Content-Length: 10\r\n\r\n0123456789");
    ASSERT_TRUE(until(io, [&] { return first->ended; }));
    EXPECT_TRUE(first->has(" 413 "));
    const PeerPtr second = ask("GET /" + std::string(100, 'x') + " HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return second->ended; }));
    EXPECT_TRUE(second->has(" 431 "));
    EXPECT_EQ(received.size(), 1u);
}

TEST_F(StrictServer, Answers408ToHalfAHead) {
    const PeerPtr peer = ask("GET /a HTTP/1.1\r\nHos");
    runReadyHandlers(io);
    ASSERT_TRUE(until(io, [&] {
        pass(100);
        return peer->ended;
    }));
    EXPECT_TRUE(peer->has(" 408 "));
    EXPECT_TRUE(peer->has("Connection: close"));
}

// A body may take long in total, as long as it goes on.
TEST_F(StrictServer, ClosesWhenBodyStallsButNotWhenItIsSlow) {
    const PeerPtr peer = ask(kPost + "Content-Length: 10\r\n\r\n");
    ASSERT_TRUE(until(io, [&] { return server->connections() == 1; }));
    for (int i = 0; i < 10; ++i) {
        runReadyHandlers(io);
        pass(1500);
        peer->send("x");
        const std::size_t before = received.size();
        if (i < 9) runReadyHandlers(io);
        EXPECT_EQ(received.size(), before);
    }
    ASSERT_TRUE(until(io, [&] { return received.size() == 1; }));
    EXPECT_FALSE(peer->has(" 408 "));
    const PeerPtr stalled = ask(kPost + "Content-Length: 10\r\n\r\nx");
    ASSERT_TRUE(until(io, [&] {
        pass(100);
        return stalled->ended;
    }));
    EXPECT_TRUE(stalled->has(" 408 "));
}

TEST_F(StrictServer, AnnouncesIdleTimeoutAndClosesIdleConnections) {
    net::HttpLimits announced = limits();
    announced.idle = 4500;
    announced.announceIdle = true;
    server->limits(announced);
    PeerPtr peer;
    receive(kGet, &peer)->respond(200, "text/plain", "fine");
    ASSERT_TRUE(until(io, [&] { return peer->has("fine"); }));
    EXPECT_TRUE(peer->has("Keep-Alive: timeout=3\r\n"));
    ASSERT_TRUE(until(io, [&] {
        pass(100);
        return peer->ended;
    }));
}

// Whoever has a request on its way when the server closes is answered before its connection ends.
TEST_F(StrictServer, ClosingServesPipelinedRequest) {
    PeerPtr peer;
    ConnectionPtr connection = receive(kGet + kGet, &peer);
    server->closing(true);
    connection->respond(200, "text/plain", "first");
    ASSERT_TRUE(until(io, [&] { return received.size() == 2; }));
    EXPECT_FALSE(peer->has("Connection: close"));
    connection->respond(200, "text/plain", "second");
    ASSERT_TRUE(until(io, [&] { return peer->ended; }));
    EXPECT_TRUE(peer->has("second"));
    EXPECT_TRUE(peer->has("Connection: close"));
    EXPECT_FALSE(peer->wasReset);
}

TEST_F(StrictServer, CloseIdleSparesConnectionWithRequest) {
    PeerPtr peer;
    receive(kGet, &peer)->respond(200, "text/plain", "first");
    ASSERT_TRUE(until(io, [&] { return peer->has("first"); }));
    asio::write(peer->socket, asio::buffer(kGet));  // in the system's hands, not read yet
    server->closing(true);
    server->closeIdle(0);
    ASSERT_TRUE(until(io, [&] { return received.size() == 2; }));
    received[1].connection->respond(200, "text/plain", "second");
    ASSERT_TRUE(until(io, [&] { return peer->ended; }));
    EXPECT_TRUE(peer->has("second"));
}

TEST_F(StrictServer, StreamsEachChunkAtOnce) {
    PeerPtr peer;
    const ConnectionPtr connection = receive(kGet, &peer);
    ASSERT_TRUE(connection->beginStream(200, "Content-Type: text/event-stream\r\n", std::nullopt));
    ASSERT_TRUE(until(io, [&] { return peer->has("\r\n\r\n"); }));
    EXPECT_TRUE(peer->has("Transfer-Encoding: chunked\r\n"));
    for (int i = 0; i < 5; ++i) {
        const std::string event = fmt::format("id: {}\n\n", i);
        EXPECT_EQ(connection->writeSome(event), 0u);
        ASSERT_TRUE(until(io, [&] { return peer->has(event); }));
    }
    EXPECT_EQ(connection->writeSome(""), 0u);
    EXPECT_FALSE(peer->has("0\r\n\r\n"));
    bool handedOver = false;
    connection->endStream([&] { handedOver = true; });
    ASSERT_TRUE(until(io, [&] { return peer->has("0\r\n\r\n"); }));
    ASSERT_TRUE(until(io, [&] { return handedOver; }));
    EXPECT_FALSE(peer->ended);
    peer->send(kGet);  // the connection goes on
    ASSERT_TRUE(until(io, [&] { return received.size() == 2; }));
}

TEST_F(StrictServer, SendsHeadWithFirstBytes) {
    PeerPtr peer;
    const ConnectionPtr connection = receive(kGet, &peer);
    std::size_t chunks = 0;
    peer->onData = [&](test::Peer&) { ++chunks; };
    connection->beginStream(200, "", 2);
    connection->writeSome("ok");
    connection->endStream();
    ASSERT_TRUE(until(io, [&] { return peer->has("\r\n\r\nok"); }));
    EXPECT_EQ(chunks, 1u);
}

TEST_F(StrictServer, BreaksOffAbortedStreamVisibly) {
    PeerPtr chunked;
    ConnectionPtr connection = receive(kGet, &chunked);
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("part");
    connection->abortStream();
    ASSERT_TRUE(until(io, [&] { return chunked->ended; }));
    EXPECT_TRUE(chunked->has("4\r\npart\r\n"));
    EXPECT_FALSE(chunked->has("0\r\n\r\n"));

    PeerPtr counted;
    connection = receive(kGet, &counted);
    connection->beginStream(200, "", 10);
    connection->writeSome("part");
    connection->endStream();  // short of its length
    ASSERT_TRUE(until(io, [&] { return counted->ended; }));
    EXPECT_TRUE(counted->got.ends_with("\r\n\r\npart"));

    PeerPtr old;
    connection = receive("GET /a HTTP/1.0\r\n\r\n", &old);
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("part");
    ASSERT_TRUE(until(io, [&] { return old->has("part"); }));
    EXPECT_FALSE(old->has("chunked"));
    connection->abortStream();
    ASSERT_TRUE(until(io, [&] { return old->ended; }));
    EXPECT_TRUE(old->wasReset) << "a plain close would be the end of the answer";
}

TEST_F(StrictServer, SendsBodyToEndOfConnectionToHttp10Client) {
    PeerPtr peer;
    const ConnectionPtr connection = receive("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", &peer);
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("whole");
    connection->endStream();
    ASSERT_TRUE(until(io, [&] { return peer->ended; }));
    EXPECT_TRUE(peer->got.ends_with("\r\n\r\nwhole"));
    EXPECT_TRUE(peer->has("Connection: close"));
    EXPECT_FALSE(peer->wasReset);
}

TEST_F(StrictServer, SendsNoMoreThanTheLength) {
    PeerPtr peer;
    const ConnectionPtr connection = receive(kGet, &peer);
    bool clientLeft = false;
    connection->beginStream(200, "", 3);
    connection->whenGone([&] { clientLeft = true; });
    connection->writeSome("1234");
    EXPECT_FALSE(clientLeft) << "reported from the loop";
    ASSERT_TRUE(until(io, [&] { return clientLeft && peer->ended; }));
    EXPECT_FALSE(peer->has("1234"));
}

TEST_F(StrictServer, ReportsThatClientLeftStream) {
    PeerPtr peer;
    ConnectionPtr connection = receive(kGet, &peer);
    bool clientLeft = false;
    connection->whenGone([&] { clientLeft = true; });
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("part");
    ASSERT_TRUE(until(io, [&] { return peer->has("part"); }));
    EXPECT_FALSE(clientLeft);
    peer->close();
    ASSERT_TRUE(until(io, [&] { return clientLeft; }));
    EXPECT_EQ(connection->writeSome("more"), 0u);
    connection->endStream();
    runReadyHandlers(io);
    EXPECT_EQ(server->connections(), 0u);
}

TEST_F(StrictServer, BoundsBufferOfSlowClientAndServesOthers) {
    PeerPtr slow;
    const ConnectionPtr connection = receive(kGet, &slow, true);
    bool clientLeft = false;
    connection->beginStream(200, "", std::nullopt);
    connection->whenGone([&] { clientLeft = true; });
    const std::string chunk(64 * 1024, 'x');
    std::size_t most = 0;
    for (int i = 0; i < 1000 && !clientLeft; ++i) {
        most = std::max(most, connection->writeSome(chunk));
        runReadyHandlers(io);
    }
    EXPECT_TRUE(clientLeft);
    EXPECT_GT(most, 0u);
    EXPECT_LE(most, limits().streamQueue);
    PeerPtr other;
    receive(kGet, &other)->respond(200, "text/plain", "fine");
    ASSERT_TRUE(until(io, [&] { return other->has("fine"); }));
}

TEST_F(StrictServer, ReportsDrainedWhenClientReadsLater) {
    PeerPtr slow;
    const ConnectionPtr connection = receive(kGet, &slow, true);
    std::string body;
    for (int i = 0; body.size() < 4 * 1024 * 1024; ++i) body += std::to_string(i) + ",";
    connection->beginStream(200, "", body.size());
    std::size_t at = 0;
    bool drained = false;
    while (at < body.size() && connection->queued() < 100'000) {
        connection->writeSome(std::string_view(body).substr(at, 32 * 1024));
        at += std::min<std::size_t>(32 * 1024, body.size() - at);
    }
    ASSERT_GT(connection->queued(), 0u);
    connection->whenDrained([&] { drained = true; });
    runReadyHandlers(io);
    EXPECT_FALSE(drained);
    slow->slow = false;
    slow->read();
    while (at < body.size()) {
        ASSERT_TRUE(until(io, [&] { return connection->queued() < 500'000; }));
        connection->writeSome(std::string_view(body).substr(at, 32 * 1024));
        at += std::min<std::size_t>(32 * 1024, body.size() - at);
    }
    connection->endStream();
    ASSERT_TRUE(until(io, [&] { return slow->got.size() >= body.size() && slow->got.ends_with(body); }));
    EXPECT_TRUE(drained);
}

TEST_F(StrictServer, ClosesClientThatReadsNothing) {
    PeerPtr slow;
    const ConnectionPtr connection = receive(kGet, &slow, true);
    bool clientLeft = false;
    connection->beginStream(200, "", std::nullopt);
    connection->whenGone([&] { clientLeft = true; });
    const std::string chunk(32 * 1024, 'x');
    while (connection->queued() < 10 * chunk.size()) {  // more than the system takes in between
        connection->writeSome(chunk);
        runReadyHandlers(io);
    }
    ASSERT_TRUE(until(io, [&] {
        pass(500);
        return clientLeft;
    }));
}

// A quiet stream is not late: nothing waits for its client.
TEST_F(StrictServer, KeepsQuietStreamOpen) {
    PeerPtr peer;
    const ConnectionPtr connection = receive(kGet, &peer);
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("part");
    const PeerPtr witness = ask("GET /a HTTP/1.1\r\nHos");  // is closed by the sweep
    ASSERT_TRUE(until(io, [&] {
        pass(1000);
        return witness->ended;
    }));
    EXPECT_TRUE(connection->streaming());
    EXPECT_FALSE(peer->ended);
}

TEST_F(StrictServer, CloseAllBreaksOffStreamsVisibly) {
    PeerPtr peer;
    const ConnectionPtr connection = receive(kGet, &peer);
    connection->beginStream(200, "", std::nullopt);
    connection->writeSome("part");
    ASSERT_TRUE(until(io, [&] { return peer->has("part"); }));
    server->closeAll();
    ASSERT_TRUE(until(io, [&] { return peer->ended; }));
    EXPECT_FALSE(peer->has("0\r\n\r\n"));
}

// What the loop was about to call when the server ended does not touch it: here its timer has run out.
TEST_F(StrictServer, MayBeDestroyedWithTimerDue) {
    const auto sweepAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    const PeerPtr peer = connect();
    while (std::chrono::steady_clock::now() < sweepAt) std::this_thread::yield();
    io.restart();
    io.poll_one();  // finds what is due, and carries out only the first of it
    server.reset();
    runReadyHandlers(io);
    EXPECT_TRUE(until(io, [&] { return peer->ended; }));
}

}  // namespace
}  // namespace beechpoint
