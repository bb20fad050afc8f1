// The pool of connections to hosts: slots, limits, idle connections and dials.
#include <gtest/gtest.h>

#include <map>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// Parts that wait for a slot are no fault of the host's.
TEST(Pool, QueuesPartsWhenAllConnectionsAreFull) {
    SingleHostFixture single([](Config& c) { c.connections.calls = c.connections.perHost = 1; });
    EXPECT_EQ(single.client.request(query("t", {0, 1, 2, 3})).status, 200);
    ASSERT_EQ(single.host.connections.size(), 1);
    EXPECT_EQ(single.fixture.count(Counter::attemptsNoConnection), 0);
    EXPECT_EQ(single.fixture.count(Counter::attemptsSent), 4);
}

TEST(Pool, ClosesIdleConnectionWhenAnotherHostNeedsItsDescriptor) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses(), [](Config& c) {
        c.sockets = 2;  // one of them for hosts
        c.settings.span = 1;
    });
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(client.request(query("t" + std::to_string(i), {i % 2})).status, 200);
    ASSERT_EQ(hosts.first.connections.size(), 2);
    ASSERT_EQ(hosts.second.connections.size(), 2);
    runUntil(fixture.io, [&] { return hosts.first.connections[1]->ended; });
}

TEST(Pool, OpensAnotherConnectionWhenCallsOfOneAreInFlight) {
    StubFrameHost host(eventLoop());
    std::vector<StubFrameHost::Part> pendingParts;
    host.onPart = [&](const StubFrameHost::Part& part) { pendingParts.push_back(part); };
    GathererFixture fixture({host.address()}, [](Config& c) {
        c.connections.calls = 2;
        c.settings.cells = c.settings.span = 1;
    });
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    client.send(query("t", {0, 1, 2, 3}));
    runUntil(fixture.io, [&] { return pendingParts.size() == 4; });
    ASSERT_EQ(host.connections.size(), 2);
    std::map<LoopbackConnection*, int> partsOn;
    for (const auto& part : pendingParts) ++partsOn[&part.connection];
    for (const auto& [connection, count] : partsOn) EXPECT_EQ(count, 2);
    for (const auto& part : pendingParts) part.answer("done", "v");
    runUntil(fixture.io, [&] { return client.answers.size() == 1; });
}

TEST(Pool, ClosesConnectionWhenIdleForTooLong) {
    StubFrameHost host(eventLoop());
    GathererFixture fixture({host.address()}, [](Config& c) {
        c.connections.idle = 100;
        c.settings.cells = c.settings.span = 1;
    });
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(client.request(query("t", {0})).status, 200);
    runUntil(fixture.io, [&] { return host.connections[0]->ended; });
    EXPECT_EQ(client.request(query("t2", {0})).status, 200);
    ASSERT_EQ(host.connections.size(), 2);
}

// A host that still works on what was given up reads nothing beyond the calls of a connection: a part
// behind it would be sent later.
TEST(Pool, ClosesConnectionWhenGivenUpPartsOccupyItsSlots) {
    for (const std::size_t calls : {1U, 4U}) {
        UnansweringHost host;
        auto& pendingParts = host.pendingParts;
        GathererFixture fixture({host.address()}, [&](Config& c) {
            c.settings.cells = c.settings.span = 1;
            c.connections.calls = calls;
        });
        const auto giveUp = [&](const std::string& id) {
            const std::size_t before = pendingParts.size(), gone = fixture.count(Counter::clientsGone);
            TestClient client(fixture.io, fixture.gatherer->endpoint());
            client.send(query(id, {0}));
            runUntil(fixture.io, [&] { return pendingParts.size() == before + 1; });
            client.connection->close();
            runUntil(fixture.io, [&] { return fixture.count(Counter::clientsGone) == gone + 1; });
        };
        TestClient client(fixture.io, fixture.gatherer->endpoint());
        if (calls == 4) {  // one is not too many, and its late answer frees its slot
            giveUp("t0");
            pendingParts[0].answer("done", "late");
            runUntil(fixture.io, [&] { return fixture.count(Counter::lateFrames) == 1; });
            giveUp("t1");
            ASSERT_EQ(host.connections.size(), 1);
            EXPECT_EQ(fixture.count(Counter::connectionsClogged), 0);
        }
        giveUp("t2");
        runUntil(fixture.io, [&] { return host.connections[0]->ended; });
        EXPECT_EQ(fixture.count(Counter::connectionsClogged), 1);
        const std::size_t before = pendingParts.size();
        client.send(query("t3", {0}));
        runUntil(fixture.io, [&] { return pendingParts.size() == before + 1; });
        ASSERT_EQ(host.connections.size(), 2);
        EXPECT_EQ(&pendingParts.back().connection, host.connections[1].get());
    }
}

// A host of either protocol with one call a connection: one connection holds a part, and the next
// handshake does not complete.
struct SlowDialFixture {
    SlowDialFixture(bool searchHost, Millis dialTimeout)
        : search(searchHost), fixture({host.address()}, [&](Config& c) {
              useOneHostAndConnection(c);
              c.searchTrackHosts = search;
              c.connections.perHost = search ? 4 : 8;
              c.connections.calls = search ? 4 : 1;
              c.connections.dialTimeout = dialTimeout;
          }) {
        host.accept(true, false);
        first.send(query("first", {0}, 3000, "first"));
        runUntil(fixture.io, [&] { return host.received.find("first") != std::string::npos; });
        host.fillBacklog();
        runReady(fixture.io);
        next.send(query("next", {0}, 3000, "next"));
        runUntil(fixture.io, [&] { return fixture.count(Counter::dials) == 2; });
        EXPECT_EQ(fixture.count(Counter::attemptsSent), 1);
    }
    void answer(std::size_t connection, const std::string& id) {
        std::string frame;
        backend::writeFrame(frame, 'R', id + " done 1 -\nv");
        host.connections[connection]->send(
            search ? net::response(200, "application/json", kEmptySearchAnswer, true) : frame);
    }
    bool search;
    RawSocketHost host{0};
    GathererFixture fixture;
    TestClient first{fixture.io, fixture.gatherer->endpoint()},
        next{fixture.io, fixture.gatherer->endpoint()};
};

TEST(Pool, MovesPartFromPendingDialWhenASlotBecomesFree) {
    for (const bool search : {false, true}) {
        SlowDialFixture slow(search, 15'000);
        slow.answer(0, "first.0");
        runUntil(slow.fixture.io, [&] { return slow.host.received.find("next") != std::string::npos; });
        EXPECT_EQ(slow.fixture.count(Counter::callsTakenOver), 1);
        EXPECT_EQ(slow.fixture.count(Counter::dials), 2);
        slow.answer(0, "next.0");
        runUntil(slow.fixture.io, [&] { return slow.next.answers.size() == 1; });
        EXPECT_EQ(slow.next.answers[0].status, 200);
        ASSERT_EQ(slow.host.connections.size(), 1);
    }
}

// A handshake got lost, and its host is healthy: a second dial brings the part there before the first has
// failed.
TEST(Pool, OpensASecondDialWhenTheFirstIsLate) {
    for (const bool search : {false, true}) {
        SlowDialFixture slow(search, 800);  // the system tries a lost handshake again after 1 s
        slow.host.accept(true);
        runUntil(slow.fixture.io, [&] { return slow.host.received.find("next") != std::string::npos; });
        EXPECT_EQ(slow.fixture.count(Counter::dialsBeside), 1);
        EXPECT_EQ(slow.fixture.count(Counter::dialsFailed), 0);
        EXPECT_EQ(slow.fixture.count(Counter::dials), 3);
        EXPECT_EQ(slow.fixture.count(Counter::attemptsSent), 2);
        slow.answer(slow.host.connections.size() - 1, "next.0");
        runUntil(slow.fixture.io, [&] { return slow.next.answers.size() == 1; });
        EXPECT_EQ(slow.next.answers[0].status, 200);
        ASSERT_TRUE(slow.first.answers.empty());
        EXPECT_EQ(slow.fixture.count(Counter::attemptsNoConnection), 0);
    }
}

TEST(Pool, OpensNoSecondDialWhenNobodyWaitsOrTheHostDrains) {
    for (const bool clientLeft : {true, false}) {
        SlowDialFixture slow(false, 800);
        if (clientLeft)
            slow.next.connection->close();
        else
            slow.fixture.gatherer->exchange().list(
                {coordinator::ListKind::changes,
                 {hostEntry("h0", slow.host.address(), 0, coordinator::ServerState::draining)}});
        runUntil(slow.fixture.io, [&] { return slow.fixture.count(Counter::dialsFailed) == 1; });
        EXPECT_EQ(slow.fixture.count(Counter::dials), 2);
        EXPECT_EQ(slow.fixture.count(Counter::dialsBeside), 0);
    }
}

}  // namespace
