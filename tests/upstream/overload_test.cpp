// What a listener's clients see where the memory of all connections is full: refusals that keep their promise, and closed connections.
#include <fmt/format.h>

#include "server_fixture.hpp"

namespace beechpoint {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kBody = 4 * kMegabyte;

std::string announced(std::size_t size) { return fmt::format("{}Content-Length: {}\r\n\r\n", kPost, size); }

class Overload : public StrictServer {
protected:
    Overload() { start(limits(), &budget); }
    ~Overload() override {
        for (const PeerPtr& peer : peers) peer->close();
        received.clear();
        server.reset();  // before its budget
        runReadyHandlers(io);
    }

    // How often the budget was kept by refusing, dropping or closing.
    std::uint64_t actions() const {
        const net::OverloadCounts& counts = budget.counts();
        return counts.refusedRequests + counts.droppedAhead + counts.closedAnswers;
    }
    // A client that stops one byte short of the end of its body: all that it sent is held, or the budget was full.
    void stopShort() {
        const std::size_t used = budget.state().used();
        const std::uint64_t before = actions();
        const PeerPtr peer = ask(announced(kBody));
        peer->send(std::string(kBody - 1, 'x'));
        EXPECT_TRUE(until(io, [&] { return actions() > before || budget.state().used() >= used + kBody; }));
    }

    net::ConnectionBudget budget{24 * kMegabyte};
};

TEST_F(Overload, ARequestOfFullSizeIsServedInCalm) {
    const ConnectionPtr connection = receive(announced(kBody) + std::string(kBody, 'x'));
    EXPECT_EQ(received.back().body.size(), kBody);
    connection->respond(200, "text/plain", "done");
    ASSERT_TRUE(until(io, [&] { return peers.back()->has("done"); }));
    EXPECT_EQ(budget.counts().refusedRequests, 0U);
}

TEST_F(Overload, WhatDoesNotFitIsRefusedAndWasNeverHandedOn) {
    for (int client = 0; client < 12; ++client) stopShort();
    EXPECT_LE(budget.state().used(), budget.state().limit());
    ASSERT_GT(budget.counts().refusedRequests, 0U);
    std::size_t refused = 0;
    for (const PeerPtr& peer : peers) {
        if (peer->got.empty()) continue;
        ++refused;
        EXPECT_TRUE(peer->has(" 503 ")) << peer->got;
        EXPECT_TRUE(peer->has("Retry-After: ")) << peer->got;
        EXPECT_TRUE(peer->has("Connection: close")) << peer->got;
        EXPECT_TRUE(peer->has("not taken and not run")) << peer->got;
        EXPECT_EQ(peer->got.find("HTTP/1.1", 1), std::string::npos) << "more than one answer";
    }
    EXPECT_GT(refused, 0U);
    EXPECT_TRUE(received.empty());
}

TEST_F(Overload, AnOrdinaryRequestIsServedBesideThem) {
    for (int client = 0; client < 12; ++client) stopShort();
    receive(kGet)->respond(200, "text/plain", "done");
    ASSERT_TRUE(until(io, [&] { return peers.back()->has("done"); }));
}

// The time for which a connection has been idle does not count against its next request.
TEST_F(Overload, AKeptConnectionIsAsGoodAsANewOne) {
    net::HttpLimits patient = limits();
    patient.idle = 1'000'000;
    server->limits(patient);
    PeerPtr kept;
    receive(kGet, &kept)->respond(200, "text/plain", "first");
    ASSERT_TRUE(until(io, [&] { return kept->has("first"); }));
    pass(500'000);
    for (int client = 0; client < 12; ++client) stopShort();
    constexpr std::size_t kSmallBody = 20'000;
    kept->send(announced(kSmallBody) + std::string(kSmallBody, 'x'));
    ASSERT_TRUE(until(io, [&] { return received.size() == 2 || kept->has(" 503 "); }));
    EXPECT_EQ(received.size(), 2U) << kept->got;
}

// Lines of four bytes take many times their size once they are read.
TEST_F(Overload, HeaderLinesCountWithWhatTheyTake) {
    std::string head = kPost;
    for (int line = 0; line < 3000; ++line) head += "a:\r\n";
    const std::size_t before = budget.state().used();
    receive(head + "\r\n");
    EXPECT_GT(budget.state().pinned(), 20 * head.size());
    received.back().connection->respond(200, "text/plain", "done");
    ASSERT_TRUE(until(io, [&] { return peers.back()->has("done"); }));
    EXPECT_LT(budget.state().used(), before + 2 * head.size());
}

TEST_F(Overload, RequestsInHandLeaveRoomForSmallOnes) {
    for (int client = 0; client < 12; ++client) ask(announced(kBody) + std::string(kBody, 'x'));
    ASSERT_TRUE(until(io, [&] { return received.size() + budget.counts().refusedRequests >= 12; }));
    EXPECT_GT(budget.counts().refusedRequests, 0U);
    EXPECT_LE(budget.state().used(), budget.state().limit());
    receive(kGet)->respond(200, "text/plain", "done");
    ASSERT_TRUE(until(io, [&] { return peers.back()->has("done"); }));
}

TEST_F(Overload, BytesSentAheadAreDroppedAndTheAnswerInHandIsGiven) {
    PeerPtr ahead;
    const ConnectionPtr connection = receive(kGet + announced(kBody), &ahead);
    ahead->send(std::string(kBody - 1, 'x'));
    ASSERT_TRUE(until(io, [&] { return budget.state().used() > kBody; }));
    pass(1000);
    while (actions() == 0) stopShort();
    ASSERT_EQ(budget.counts().droppedAhead, 1U);
    connection->respond(200, "text/plain", "done");
    ASSERT_TRUE(until(io, [&] { return ahead->ended; }));
    EXPECT_TRUE(ahead->has("done")) << ahead->got;
    EXPECT_TRUE(ahead->has("Connection: close")) << ahead->got;
    EXPECT_EQ(received.size(), 1U);
}

TEST_F(Overload, AnAnswerThatIsNotReadIsClosed) {
    PeerPtr slow;
    const ConnectionPtr connection = receive(kGet, &slow, true);
    bool gone = false;
    connection->whenGone([&] { gone = true; });
    ASSERT_TRUE(connection->beginStream(200, "", std::nullopt));
    const std::string piece(64 * 1024, 'x');
    while (connection->queued() < kMegabyte / 2) connection->writeSome(piece);
    pass(1000);
    for (int client = 0; client < 12 && budget.counts().closedAnswers == 0; ++client) stopShort();
    EXPECT_EQ(budget.counts().closedAnswers, 1U);
    EXPECT_TRUE(until(io, [&] { return gone; }));
}

}  // namespace
}  // namespace beechpoint
