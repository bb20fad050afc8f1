// Answers, ends and requests that cross on one connection: the host's side is a script, so that the order is the test's.
#include <algorithm>

#include "exchange_fixture.hpp"

namespace beechpoint::upstream {
namespace {

std::string notExecuted(const std::string& id) {
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id +
           "\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfull";
}

class Crossings : public Exchanges {
protected:
    // Of all connections, heads with that id.
    std::size_t arrivals(const std::string& id) const {
        std::size_t sum = 0;
        const std::string line = "X-Attempt-Id: " + id + "\r\n";
        for (const test::PeerPtr& peer : host.peers)
            for (auto at = peer->got.find(line); at != std::string::npos; at = peer->got.find(line, at + 1))
                ++sum;
        return sum;
    }
    bool answeredWith(const Outcome& outcome, int status, const std::string& body) const {
        return outcome.ended && outcome.head->status == status && outcome.body == body;
    }
    static Request post(const std::string& id, std::size_t size) {
        Request made = request(id, "POST");
        made.body = std::make_shared<const std::string>(size, 'x');
        return made;
    }
};

// ---- a second answer that bears the right id

// The host said that it did not run the request, and says so once more while it runs the same request, sent again.
TEST_F(Crossings, SurplusAnswerIsNotUsedForRetryWithSameId) {
    host.onRequest = [&](Peer& peer) { peer.send(notExecuted("a1")); };
    EXPECT_TRUE(answeredWith(exchange(request("a1")), 503, "full"));
    ASSERT_EQ(upstream->unused(address()), 1u);
    bool crossed = false;
    host.onRequest = [&](Peer& peer) {
        crossed = true;
        host.peers[0]->send(notExecuted("a1"));
        peer.send(counted("a1", "ran"));
    };
    const Outcome again = exchange(request("a1"));
    ASSERT_TRUE(crossed);
    EXPECT_TRUE(answeredWith(again, 200, "ran")) << again.body;
    EXPECT_EQ(arrivals("a1"), 2u);
}

TEST_F(Crossings, RequestWithoutIdIsNotSecondOnItsConnection) {
    const std::string healthy = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";
    host.onRequest = [&](Peer& peer) { peer.send(healthy); };
    EXPECT_TRUE(exchange(request("")).ended);
    host.onRequest = [&](Peer& peer) {
        host.peers[0]->send(healthy);
        peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno");
    };
    EXPECT_TRUE(answeredWith(exchange(request("")), 503, "no"));
    EXPECT_EQ(host.peers.size(), 2u);
}

TEST_F(Crossings, ConnectionThatCarriedTheIdIsReplacedByNewOne) {
    host.onRequest = [&](Peer& peer) { peer.send(counted("a1", "x")); };
    EXPECT_TRUE(exchange(request("a1")).ended);
    Outcome again;
    Handlers handlers;
    handlers.onEnd = [&] { again.ended = true; };
    handlers.onFailed = [&](const Failure& failure) { again.failure = failure; };
    upstream->send(address(), 1, request("a1"), kLong, handlers);
    ASSERT_TRUE(until(io, [&] { return again.over(); }));
    EXPECT_TRUE(again.ended);
    EXPECT_EQ(upstream->connections(address()), 1u);
    EXPECT_TRUE(until(io, [&] { return host.peers[0]->ended; }));
}

TEST_F(Crossings, OtherIdsReuseTheConnection) {
    std::string id;
    host.onRequest = [&](Peer& peer) { peer.send(counted(id, "x")); };
    for (int number = 0; number < 40; ++number) {
        id = "b" + std::to_string(number);
        EXPECT_TRUE(exchange(request(id)).ended);
    }
    EXPECT_EQ(host.peers.size(), 1u);
    id = "b10";  // among the last 32
    EXPECT_FALSE(exchange(request(id)).head->reused);
    EXPECT_EQ(host.peers.size(), 2u);
}

// ---- bytes that come before they could be an answer

TEST_F(Crossings, BytesBeforeTheRequestAreNotItsAnswer) {
    const std::vector<std::pair<std::string, FailureKind>> cases = {
        {counted("of-another", "x"), FailureKind::foreignAnswer},
        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", FailureKind::foreignAnswer},
        {"x", FailureKind::malformedAnswer}};
    for (const auto& [bytes, kind] : cases) {
        asio::ip::tcp::acceptor acceptor(io, test::anyPort());
        asio::ip::tcp::socket accepted(io);
        Outcome outcome;
        begin(outcome, request("a1"), kLong, addressOf(acceptor.local_endpoint()));
        acceptor.accept(accepted);  // the system has completed the connection; the loop has not run yet
        asio::write(accepted, asio::buffer(bytes));
        ASSERT_TRUE(until(io, [&] { return outcome.over(); }));
        ASSERT_TRUE(outcome.failure);
        EXPECT_EQ(outcome.failure->kind, kind);
        EXPECT_TRUE(outcome.failure->sent);
        EXPECT_FALSE(outcome.head);
    }
}

// ---- a persistent connection that the host resets

TEST_F(Crossings, UnusedConnectionThatWasResetIsNotReused) {
    host.onRequest = [&](Peer& peer) { peer.send(counted("a1", "x")); };
    EXPECT_TRUE(exchange(request("a1")).ended);
    host.peers[0]->reset();
    host.onRequest = [&](Peer& peer) { peer.send(counted("a2", "y")); };
    const Outcome next = exchange(request("a2"));  // no turn of the loop in between
    EXPECT_TRUE(answeredWith(next, 200, "y"));
    EXPECT_FALSE(next.head->reused);
    EXPECT_EQ(arrivals("a2"), 1u);
}

TEST_F(Crossings, RequestOnReusedConnectionIsNotRetriedWhenReset) {
    host.onRequest = [&](Peer& peer) { peer.send(counted("a1", "x")); };
    EXPECT_TRUE(exchange(request("a1")).ended);
    host.onRequest = [&](Peer& peer) { peer.reset(); };
    const Outcome next = exchange(request("a2"));
    ASSERT_TRUE(next.failure);
    EXPECT_EQ(next.failure->kind, FailureKind::resetBeforeAnswer);
    EXPECT_TRUE(next.failure->reused);
    EXPECT_TRUE(next.failure->sent);  // it may have run
    runReadyHandlers(io);
    EXPECT_EQ(arrivals("a2"), 1u);
    EXPECT_EQ(host.peers.size(), 1u);
}

// Only a part of the request reached the host's system.
TEST_F(Crossings, PartlyWrittenRequestCountsAsSent) {
    bool reset = false;
    host.onRequest = [&](Peer& peer) {
        reset = true;
        peer.reset();
    };
    const Outcome outcome = exchange(post("a1", 32 * 1024 * 1024));
    ASSERT_TRUE(reset);
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(outcome.failure->kind, FailureKind::resetBeforeAnswer);
    EXPECT_TRUE(outcome.failure->sent);
}

// ---- an answer before the complete request was read

TEST_F(Crossings, ConnectionIsNotReusedAfterBodyTruncatedByEarlyAnswer) {
    constexpr std::size_t kBody = 32 * 1024 * 1024;  // more than the systems hold between them
    host.onRequest = [&](Peer& peer) {
        peer.onData = nullptr;
        peer.slow = true;  // reads no more for now
        peer.send(counted("a1", "early"));
    };
    EXPECT_TRUE(answeredWith(exchange(post("a1", kBody)), 200, "early"));
    const test::PeerPtr first = host.peers.at(0);
    ASSERT_LT(first->got.size(), kBody);
    host.onRequest = [&](Peer& peer) { peer.send(counted("a2", "x")); };
    Outcome next;
    begin(next, request("a2"), 3000);
    first->slow = false;
    first->read();
    ASSERT_TRUE(until(io, [&] { return next.over() && first->ended; }));
    EXPECT_TRUE(answeredWith(next, 200, "x"));
    ASSERT_TRUE(next.head);
    EXPECT_FALSE(next.head->reused);
    const std::size_t body = first->got.find("\r\n\r\n") + 4;
    EXPECT_EQ(first->got.find_first_not_of('x', body), std::string::npos);
    EXPECT_LT(first->got.size() - body, kBody);
}

// The complete body was with the systems already: the next request stands behind it.
TEST_F(Crossings, ConnectionIsReusedAfterCompleteBodyAnsweredEarly) {
    constexpr std::size_t kBody = 16 * 1024;
    host.onRequest = [&](Peer& peer) {
        peer.onData = nullptr;
        peer.slow = true;
        peer.send(counted("a1", "early"));
    };
    EXPECT_TRUE(exchange(post("a1", kBody)).ended);
    const test::PeerPtr first = host.peers.at(0);
    Outcome next;
    begin(next, request("a2"));
    bool answered = false;
    first->onData = [&](Peer& peer) {
        if (answered || !peer.has("a2\r\n\r\n")) return;
        answered = true;
        peer.send(counted("a2", "x"));
    };
    first->slow = false;
    first->read();
    ASSERT_TRUE(until(io, [&] { return next.over(); }));
    EXPECT_TRUE(answeredWith(next, 200, "x"));
    EXPECT_TRUE(next.head->reused);
    const std::size_t body = first->got.find("\r\n\r\n") + 4;
    EXPECT_EQ(first->got.find_first_not_of('x', body), body + kBody);
    EXPECT_EQ(first->got.substr(body + kBody, 4), "GET ");
}

// ---- an answer without a length

TEST_F(Crossings, AnswerWithoutLengthIsCompleteOnlyAtCleanClose) {
    for (const bool clean : {true, false}) {
        host.onRequest = [&](Peer& peer) { peer.send(answer("a1", "", "so far")); };
        Outcome outcome;
        begin(outcome, request("a1"));
        ASSERT_TRUE(until(io, [&] { return outcome.body == "so far"; }));
        EXPECT_FALSE(outcome.over());
        clean ? host.peers.back()->close() : host.peers.back()->reset();
        ASSERT_TRUE(until(io, [&] { return outcome.over(); }));
        EXPECT_EQ(outcome.ended, clean);
        EXPECT_EQ(outcome.failure.has_value(), !clean);
        if (outcome.failure) {
            EXPECT_EQ(outcome.failure->kind, FailureKind::brokenAnswer);
        }
        EXPECT_EQ(upstream->connections(), 0u);
    }
}

// The reset meets a write that waits: the system tells it to the write alone, and the end to who reads.
TEST_F(Crossings, ResetReportedToWriteIsNoCleanClose) {
    host.onRequest = [](Peer& peer) {
        peer.onData = nullptr;
        peer.slow = true;  // reads no more
        peer.send(answer("a1", "", "so far"));
    };
    Outcome outcome;
    begin(outcome, post("a1", 32 * 1024 * 1024));
    ASSERT_TRUE(until(io, [&] { return outcome.body == "so far"; }));
    ASSERT_FALSE(outcome.over());
    host.peers[0]->reset();
    ASSERT_TRUE(until(io, [&] { return outcome.over(); }));
    EXPECT_FALSE(outcome.ended);
    ASSERT_TRUE(outcome.failure);
    EXPECT_EQ(outcome.failure->kind, FailureKind::brokenAnswer);
}

// Whatever it says of the connection, what follows would be body.
TEST_F(Crossings, AnswerWithoutLengthReadsBodyToTheEnd) {
    host.onRequest = [&](Peer& peer) {
        peer.send(answer("a1", "Connection: keep-alive\r\n", "body") + counted("a2", "no answer"));
    };
    Outcome outcome;
    begin(outcome, request("a1"));
    ASSERT_TRUE(until(io, [&] { return outcome.body.ends_with("no answer"); }));
    Outcome next;
    host.onRequest = [&](Peer& peer) { peer.send(counted("a2", "x")); };
    begin(next, request("a2"));
    ASSERT_TRUE(until(io, [&] { return next.over(); }));
    EXPECT_TRUE(answeredWith(next, 200, "x"));
    EXPECT_FALSE(next.head->reused);
    EXPECT_FALSE(outcome.over());
}

// ---- an answer that is truncated at any byte

TEST_F(Crossings, AnswerTruncatedAtAnyByteIsNotComplete) {
    const std::vector<std::string> answers = {
        counted("a1", "body"),
        answer("a1", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nTrailer: x\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n" + counted("a1", "body")};
    for (const std::string& complete : answers) {
        for (std::size_t size = 0; size < complete.size(); ++size) {
            const bool clean = size % 2 == 0;
            host.onRequest = [&](Peer& peer) {
                asio::write(peer.socket, asio::buffer(complete.substr(0, size)));
                clean ? peer.close() : peer.reset();
            };
            const Outcome outcome = exchange(request("a1"));
            EXPECT_FALSE(outcome.ended) << size << " bytes of " << complete;
            EXPECT_TRUE(outcome.failure && outcome.failure->sent);
        }
    }
}

// HEAD, 204 and 304: bytes where a body would stand belong to no request, in the same chunk and late.
TEST_F(Crossings, UnexpectedBodyIsNotTheNextAnswer) {
    const std::string late = counted("a2", "forged");
    for (const std::string status : {"204 No Content", "304 Not Modified", "200 OK"}) {
        const std::string head = "HTTP/1.1 " + status +
                                 "\r\nX-Attempt-Id: a1\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                                 std::to_string(late.size()) + "\r\n\r\n";
        const std::string method = status == "200 OK" ? "HEAD" : "GET";
        for (const bool atOnce : {true, false}) {
            host.onRequest = [&](Peer& peer) {
                asio::write(peer.socket, asio::buffer(head + (atOnce ? late : "")));
            };
            const Outcome bare = exchange(request("a1", method));
            ASSERT_TRUE(bare.ended && bare.head->noBody && bare.body.empty());
            if (!atOnce) asio::write(host.peers.back()->socket, asio::buffer(late));
            host.onRequest = [&](Peer& peer) { peer.send(counted("a2", "right")); };
            const Outcome next = exchange(request("a2"));
            EXPECT_TRUE(answeredWith(next, 200, "right")) << status << ' ' << next.body;
            EXPECT_FALSE(next.head->reused);
            upstream->drop(address());
        }
    }
}

}  // namespace
}  // namespace beechpoint::upstream
