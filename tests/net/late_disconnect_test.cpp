// Clients that leave while the event loop is late: their ends are unread in their sockets when their turns
// come.
#include <gtest/gtest.h>

#include "disconnecting_clients.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// The loop is late: the request and its client's end have come before it turns once, accepted by then or in
// the backlog.
TEST(LateDisconnect, SendsNothingWhenEndIsUnreadBehindTheRequest) {
    for (const bool accepted : {true, false}) {
        UnansweringHost host;
        GathererFixture fixture({host.address()}, useOneHostAndConnection);
        DisconnectingClients leaving(fixture, DisconnectingClients::Unsent{});
        for (auto& one : leaving.all)
            if (one.how == Disconnect::closeWhilePaused)
                one.how = Disconnect::closeBehindBytes;  // no request is in hand, so reading does not pause
        if (accepted) runUntil(fixture.io, [&] { return fixture.gatherer->clients() == leaving.all.size(); });
        leaving.sendAll();
        leaving.disconnectAll();
        runReady(fixture.io);
        const auto taken = fixture.count(Counter::queriesTaken);  // a reset may take the request with it
        ASSERT_GE(taken, leaving.all.size() - 2);
        EXPECT_EQ(fixture.count(Counter::goneBeforeSent), taken);
        EXPECT_EQ(fixture.gatherer->clients(), 0);
        EXPECT_EQ(fixture.gatherer->exchange().live(), 0);
        TestClient after(fixture.io, fixture.gatherer->endpoint());
        after.send(query("after", {0}));
        runUntil(fixture.io, [&] { return host.pendingParts.size() == 1; });
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 1);
        EXPECT_EQ(leaving.countSentIn(joinedFrames(host.frames)), 0);
    }
}

// A further request is in the socket behind the one whose answer goes out, and its client's end behind
// that.
TEST(LateDisconnect, SendsNothingOfTheNextRequestWhenEndIsUnreadBehindIt) {
    for (const Frontend frontend : kFrontends)
        for (const Disconnect how : kDisconnectsAtOnce) {
            UnansweringHost host;
            GathererFixture fixture({host.address()}, useOneHostAndConnection);
            TestClient client(fixture.io, endpointOf(fixture, frontend));
            client.send(markedQuery(frontend, "t1"));
            runUntil(fixture.io, [&] { return host.pendingParts.size() == 1; });
            client.send(markedQuery(frontend, "t2"));
            runReady(fixture.io);
            host.pendingParts[0].answer("done", kEmptySearchAnswer);  // handled first
            disconnect(fixture, client, how);
            runReady(fixture.io);
            EXPECT_EQ(fixture.count(Counter::answeredWhole), 1);
            ASSERT_EQ(host.pendingParts.size(), 1);
            EXPECT_EQ(fixture.count(Counter::attemptsSent), 1);
            // A reset ends the answer as well, and nothing behind it is taken.
            const auto taken = fixture.count(Counter::queriesTaken);
            EXPECT_TRUE(how == Disconnect::reset || taken == 2);
            EXPECT_EQ(fixture.count(Counter::goneBeforeSent), taken - 1);
        }
}

// What lets a waiting part go comes first, its client's end right behind it, and the loop is 0.4 s late for
// both.
struct LateLoopFixture {
    // Over `cells` cells, with `calls` parts in flight on a connection.
    LateLoopFixture(const std::vector<std::string>& hosts, int cells, std::size_t calls)
        : fixture(hosts, [&](Config& c) {
              useOneHostAndConnection(c);
              c.settings.cells = c.settings.span = cells;
              for (auto& settings : c.settings.classes) settings.aim = settings.deadline = 10'000'000'000'000;
              c.connections.calls = calls;
              c.connections.sendBuffer = 4096;
          }) {}
    void expectCounts(std::uint64_t sent, std::uint64_t written) const {
        EXPECT_EQ(fixture.count(Counter::attemptsSent), sent);
        EXPECT_EQ(fixture.count(Counter::attemptsWritten), written);
    }
    // The clients leave, and their ends are read 0.4 s late.
    void disconnectLate(DisconnectingClients& leaving) {
        leaving.disconnectAll();
        fixture.clock.set(fixture.clock.now() + 400);
        runReady(fixture.io);
    }
    // A query that comes afterwards reaches a host, whose frames `received` returns.
    void expectNextQuerySent(const std::function<std::string()>& received) {
        after.send(query("after", {0}, 10'000'000, "after"));
        runUntil(fixture.io, [&] { return received().find("after") != std::string::npos; });
    }
    GathererFixture fixture;
    TestClient first{fixture.io, fixture.gatherer->endpoint()};
    TestClient after{fixture.io, fixture.gatherer->endpoint()};
};

// Two hosts that do not answer.
struct TwoUnansweringHosts {
    std::vector<std::string> addresses() const { return {first.address(), second.address()}; }
    std::size_t pendingCount() const { return first.pendingParts.size() + second.pendingParts.size(); }
    const StubFrameHost::Part& firstPending() const {
        return first.pendingParts.empty() ? second.pendingParts[0] : first.pendingParts[0];
    }
    std::string received() const { return joinedFrames(first.frames) + joinedFrames(second.frames); }
    UnansweringHost first, second;
};

void forEachLateDisconnect(const std::function<void(Frontend, Disconnect)>& body) {
    for (const Frontend frontend : kFrontends)
        for (const Disconnect how : kDisconnectsAtOnce) body(frontend, how);
}

TEST(LateDisconnect, SendsNothingWhenADialEndsBeforeIt) {
    forEachLateDisconnect([](Frontend frontend, Disconnect how) {
        TwoUnansweringHosts hosts;
        LateLoopFixture late(hosts.addresses(), 2, 1000);
        GathererFixture& fixture = late.fixture;
        DisconnectingClients leaving(fixture, frontend, how);
        leaving.sendAll();
        runUntil(fixture.io, [&] { return fixture.gatherer->exchange().live() == 1; });
        late.expectCounts(0, 0);
        late.disconnectLate(leaving);
        EXPECT_EQ(fixture.count(Counter::goneBeforeSent), 1u);
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 0u);
        EXPECT_EQ(fixture.count(Counter::dials), 1u);
        late.expectNextQuerySent([&] { return hosts.received(); });
        EXPECT_EQ(leaving.countSentIn(hosts.received()), 0u);
        EXPECT_EQ(hosts.pendingCount(), 1u);
    });
}

TEST(LateDisconnect, SendsNothingWhenASlotBecomesFreeBeforeIt) {
    forEachLateDisconnect([](Frontend frontend, Disconnect how) {
        TwoUnansweringHosts hosts;
        LateLoopFixture late(hosts.addresses(), 1, 1);
        GathererFixture& fixture = late.fixture;
        late.first.send(query("first", {0}, 10'000'000, "x"));
        runUntil(fixture.io, [&] { return hosts.pendingCount() == 1; });
        runReady(fixture.io);
        DisconnectingClients leaving(fixture, frontend, how);
        leaving.sendAll();
        runUntil(fixture.io, [&] { return fixture.gatherer->exchange().live() == 2; });
        late.expectCounts(1, 1);
        hosts.firstPending().answer("done", "v");
        late.disconnectLate(leaving);
        EXPECT_EQ(fixture.count(Counter::goneBeforeSent), 1u);
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 1u);
        EXPECT_EQ(late.first.answers.size(), 1u);
        late.expectNextQuerySent([&] { return hosts.received(); });
        EXPECT_EQ(leaving.countSentIn(hosts.received()), 0u);
        EXPECT_EQ(hosts.pendingCount(), 2u);
    });
}

TEST(LateDisconnect, SendsNothingWhenAPartlyWrittenFrameMovesOnBeforeIt) {
    forEachLateDisconnect([](Frontend frontend, Disconnect how) {
        RawSocketHost host(16, 4096);
        host.accept(false);
        LateLoopFixture late({host.address()}, 1, 1000);
        GathererFixture& fixture = late.fixture;
        late.first.send(query("first", {0}, 10'000'000, std::string(60'000, 'x')));
        runUntil(fixture.io, [&] { return fixture.count(Counter::attemptsSent) == 1; });
        runReady(fixture.io);
        DisconnectingClients leaving(fixture, frontend, how);
        leaving.sendAll();
        runUntil(fixture.io, [&] { return fixture.gatherer->exchange().live() == 2; });
        late.expectCounts(1, 0);
        ASSERT_GT(host.readAllNow(), 0u);
        late.disconnectLate(leaving);
        EXPECT_EQ(fixture.count(Counter::goneBeforeSent), 1u);
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 1u);
        host.read(0);
        late.expectNextQuerySent([&] { return host.received; });
        EXPECT_EQ(leaving.countSentIn(host.received), 0u);
        EXPECT_EQ(host.connections.size(), 1u);
    });
}

TEST(LateDisconnect, SendsNoRetryWhenAHostFailsBeforeIt) {
    forEachLateDisconnect([](Frontend frontend, Disconnect how) {
        TwoUnansweringHosts hosts;
        LateLoopFixture late(hosts.addresses(), 2, 1000);
        GathererFixture& fixture = late.fixture;
        DisconnectingClients leaving(fixture, frontend, how);
        leaving.sendAll();
        runUntil(fixture.io, [&] { return hosts.pendingCount() == 1; });
        late.expectCounts(1, 1);
        hosts.firstPending().answer("failed", "v");
        late.disconnectLate(leaving);
        EXPECT_EQ(fixture.count(Counter::goneAfterSent), 1u);
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 1u);
        EXPECT_EQ(fixture.count(Counter::attemptsError), 1u);
        late.expectNextQuerySent([&] { return hosts.received(); });
        EXPECT_EQ(leaving.countSentIn(hosts.received()), 1u);
        EXPECT_EQ(hosts.pendingCount(), 2u);
    });
}

// The same with the client's own frame or search partly written: no byte more follows, and the connection
// ends.
TEST(LateDisconnect, SendsNoByteMoreWhenPartIsPartlyWrittenAndTheLoopIsLate) {
    for (const bool searchHost : {false, true})
        for (const Frontend frontend : kFrontends)
            for (const Disconnect how : kDisconnectsAtOnce) {
                PartialWriteFixture partial(searchHost);
                TestClient client(partial.fixture.io, endpointOf(partial.fixture, frontend));
                client.send(markedQuery(frontend, std::string(60'000, 'x') + "end"));
                partial.runUntilPartlyWritten();
                const std::size_t size = partial.host.readAllNow();  // so that there is room for more
                EXPECT_GT(size, 0);
                EXPECT_LT(size, 60'000);
                disconnect(partial.fixture, client, how);
                partial.fixture.clock.set(partial.fixture.clock.now() + 400);
                runReady(partial.fixture.io);
                EXPECT_EQ(partial.fixture.count(Counter::goneBeforeSent), 1);
                EXPECT_EQ(partial.fixture.count(Counter::attemptsWritten), 0);
                partial.host.read(0);
                runUntil(partial.fixture.io, [&] { return partial.host.connections[0]->ended; });
                ASSERT_TRUE(partial.host.received.empty());
            }
}

}  // namespace
