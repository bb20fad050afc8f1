// Clients that leave: nothing of their requests is sent on, by whatever way a part was waiting. Each race
// is forced on real sockets, and each test asserts that it took place.
#include <gtest/gtest.h>

#include <deque>

#include "disconnecting_clients.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

// Deadlines so long that admission lets all queries in.
void admitAll(Config& config) {
    for (auto& settings : config.settings.classes) settings.aim = settings.deadline = 10'000'000'000'000;
}

TEST(ClientDisconnect, SendsNothingWhenPartsWaitForADial) {
    asio::io_context& io = eventLoop();
    RawSocketHost host(0);
    host.fillBacklog();
    runReady(io);
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.connections.dialTimeout = 15'000;
    });
    DisconnectingClients leaving(fixture);
    EXPECT_EQ(fixture.count(Counter::dials), 1);
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 0);
    leaving.disconnectAll();
    leaving.expectNoticed();
    TestClient after(io, fixture.gatherer->endpoint());
    after.send(query("after", {0}, 20'000, "after", "day-report"));
    runUntil(io, [&] { return fixture.gatherer->exchange().live() == 1; });
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 0);  // the dial is pending
    host.accept(true);
    runUntil(io, [&] { return host.received.find("after") != std::string::npos || !after.answers.empty(); });
    EXPECT_EQ(fixture.count(Counter::dials), 1);
    ASSERT_TRUE(after.answers.empty());
    EXPECT_EQ(leaving.countSentIn(host.received), 0);
}

TEST(ClientDisconnect, SendsNothingWhenPartsWaitForASlot) {
    UnansweringHost host;
    auto& pendingParts = host.pendingParts;
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.connections.calls = 1;
    });
    TestClient first(fixture.io, fixture.gatherer->endpoint()),
        after(fixture.io, fixture.gatherer->endpoint());
    first.send(query("first", {0}));
    runUntil(fixture.io, [&] { return pendingParts.size() == 1; });
    DisconnectingClients leaving(fixture);
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 1);
    leaving.disconnectAll();
    leaving.expectNoticed();
    pendingParts[0].answer("done", "v");
    after.send(query("after", {0}));
    runUntil(fixture.io, [&] { return pendingParts.size() == 2; });
    EXPECT_EQ(pendingParts[1].id, "after.0");
    EXPECT_EQ(leaving.countSentIn(joinedFrames(host.frames)), 0);
}

// The same towards a host of the query API, which has one search at a time on a connection.
TEST(ClientDisconnect, SendsNothingWhenPartsWaitForASearchHost) {
    StubHttpHost host(eventLoop());
    std::string received;
    std::vector<StubHttpHost::HttpRequest> pendingRequests;
    host.onRequest = [&](const StubHttpHost::HttpRequest& request) {
        received += request.body;
        pendingRequests.push_back(request);
    };
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.searchTrackHosts = true;
        c.connections.calls = 1;
    });
    TestClient first(fixture.io, fixture.gatherer->endpoint()),
        after(fixture.io, fixture.gatherer->endpoint());
    first.send(query("first", {0}));
    runUntil(fixture.io, [&] { return pendingRequests.size() == 1; });
    DisconnectingClients leaving(fixture);
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 1);
    leaving.disconnectAll();
    leaving.expectNoticed();
    pendingRequests[0].answer(200, kEmptySearchAnswer);
    after.send(query("after", {0}, 3000, "after"));
    runUntil(fixture.io, [&] { return pendingRequests.size() == 2; });
    EXPECT_EQ(pendingRequests[1].body, "after");
    ASSERT_EQ(first.answers.size(), 1);
    EXPECT_EQ(leaving.countSentIn(received), 0);
    ASSERT_EQ(host.connections.size(), 1);
}

// The connection is lost as the clients leave or after it: what waited there goes to another one.
TEST(ClientDisconnect, SendsNothingWhenTheConnectionTheyWaitForIsLost) {
    for (const bool atOnce : {true, false}) {
        StubFrameHost host(eventLoop());
        std::vector<StubFrameHost::Part> pendingParts;
        host.onPart = [&](const StubFrameHost::Part& part) {
            if (pendingParts.empty())
                pendingParts.push_back(part);
            else
                part.answer("done", "v");
        };
        GathererFixture fixture({host.address()}, [](Config& c) {
            useOneHostAndConnection(c);
            c.connections.calls = 1;
        });
        TestClient first(fixture.io, fixture.gatherer->endpoint()),
            after(fixture.io, fixture.gatherer->endpoint());
        first.send(query("first", {0}));
        runUntil(fixture.io, [&] { return pendingParts.size() == 1; });
        DisconnectingClients leaving(fixture);
        for (auto& one : leaving.all) {
            const bool needsTheLoop = one.how != Disconnect::reset;
            if (atOnce && needsTheLoop) one.how = Disconnect::close;
        }
        leaving.disconnectAll();
        if (!atOnce) leaving.expectNoticed();
        host.connections[0]->close();
        runUntil(fixture.io, [&] { return first.answers.size() == 1; });  // lost, and retried
        after.send(query("after", {0}));
        runUntil(fixture.io, [&] { return after.answers.size() == 1; });
        EXPECT_EQ(fixture.count(Counter::attemptsConnectionLost), 1);
        EXPECT_EQ(fixture.count(Counter::dials), 2);
        ASSERT_EQ(fixture.count(Counter::goneBeforeSent), leaving.all.size());
        EXPECT_EQ(leaving.countSentIn(joinedFrames(host.frames)), 0);
    }
}

// The host does not read: parts that may be sent wait for a full socket. One frame is written in part, and
// its client leaves, too.
TEST(ClientDisconnect, SendsNothingWhenTheSocketIsFull) {
    for (const bool firstLeavesToo : {false, true}) {
        RawSocketHost host(16, 4096);
        host.accept(false);
        GathererFixture fixture({host.address()}, [](Config& c) {
            useOneHostAndConnection(c);
            c.settings.openCap = 100'000;
            admitAll(c);
            c.connections.calls = 1000;
            c.sockets = 4096;
        });
        std::vector<std::unique_ptr<TestClient>> clients;
        while (fixture.count(Counter::attemptsWritten) == 4 * clients.size()) {
            ASSERT_LT(clients.size(), 100);
            const std::string n = std::to_string(clients.size());
            clients.push_back(std::make_unique<TestClient>(fixture.io, fixture.gatherer->endpoint()));
            clients.back()->send(
                query("big" + n, {0, 1, 2, 3}, 10'000'000, std::string(60'000, 'x') + "end" + n + "x"));
            runUntil(fixture.io, [&] {
                return fixture.gatherer->exchange().live() == clients.size() &&
                       fixture.count(Counter::attemptsWritten) > 0;
            });
        }
        const std::string lastMark = "end" + std::to_string(clients.size() - 1) + "x";
        const std::size_t written = fixture.count(Counter::attemptsWritten) - 4 * (clients.size() - 1);
        DisconnectingClients leaving(fixture);
        ASSERT_EQ(fixture.count(Counter::attemptsWritten), written + 4 * (clients.size() - 1));
        leaving.disconnectAll();
        leaving.expectNoticed();
        if (firstLeavesToo) {
            clients.back()->connection->close();
            runUntil(fixture.io,
                     [&] { return fixture.count(Counter::clientsGone) == leaving.all.size() + 1; });
        }
        TestClient after(fixture.io, fixture.gatherer->endpoint());
        after.send(query("after", {0}, 10'000'000, "after"));
        runUntil(fixture.io, [&] {
            return fixture.gatherer->exchange().live() == clients.size() + (firstLeavesToo ? 0 : 1);
        });
        host.read(0);
        if (firstLeavesToo) {
            // Half of its part is written: the connection ends, and another one brings what is wanted.
            runUntil(fixture.io, [&] { return host.connections.size() == 2 && host.connections[0]->ended; });
            host.read(1);
        }
        runUntil(fixture.io, [&] { return host.received.find("after") != std::string::npos; });
        std::size_t lastSeen = 0;
        for (auto at = host.received.find(lastMark); at != std::string::npos;
             at = host.received.find(lastMark, at + 1))
            ++lastSeen;
        EXPECT_EQ(leaving.countSentIn(host.received), 0);
        EXPECT_EQ(lastSeen, firstLeavesToo ? written : 4);
    }
}

// A little room, and all that waits is claimed in one turn; what finds no room even so is asked about
// again.
TEST(ClientDisconnect, SendsNothingWhenPartsWereClaimedInOneTurn) {
    RawSocketHost host(16, 4096);
    host.accept(false);
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        admitAll(c);
        c.connections.calls = 1000;
    });
    std::vector<std::unique_ptr<TestClient>> clients;
    for (std::size_t i = 0; i < 8; ++i) {
        clients.push_back(std::make_unique<TestClient>(fixture.io, fixture.gatherer->endpoint()));
        clients.back()->send(query("big" + std::to_string(i), {0}, 10'000'000, std::string(60'000, 'x')));
        runUntil(fixture.io, [&] {
            return fixture.gatherer->exchange().live() == i + 1 &&
                   fixture.count(Counter::attemptsWritten) > 0;
        });
    }
    DisconnectingClients leaving(fixture);
    const std::size_t all = clients.size() + leaving.all.size();
    ASSERT_LT(fixture.count(Counter::attemptsSent), clients.size());
    std::string chunk(8192, '\0');
    while (fixture.count(Counter::attemptsSent) < all) {
        host.connections[0]->socket.read_some(asio::buffer(chunk));
        runReady(fixture.io);
    }
    ASSERT_LT(fixture.count(Counter::attemptsWritten), clients.size());
    leaving.disconnectAll();
    leaving.expectNoticed();
    host.read(0);
    TestClient after(fixture.io, fixture.gatherer->endpoint());
    after.send(query("after", {0}, 10'000'000, "after"));
    runUntil(fixture.io, [&] { return host.received.find("after") != std::string::npos; });
    ASSERT_EQ(fixture.count(Counter::attemptsWritten), clients.size() + 1);
    EXPECT_EQ(leaving.countSentIn(host.received), 0);
}

// Half of a frame or a search is written when its client leaves: the rest is not, and its connection ends.
TEST(ClientDisconnect, EndsConnectionWhenPartIsPartlyWritten) {
    for (const bool searchHost : {false, true})
        for (const Frontend frontend : kFrontends)
            for (const Disconnect how : kDisconnects) {
                PartialWriteFixture partial(searchHost);
                TestClient client(partial.fixture.io, endpointOf(partial.fixture, frontend));
                client.send(markedQuery(frontend, std::string(60'000, 'x') + "end"));
                partial.runUntilPartlyWritten();
                disconnect(partial.fixture, client, how);
                runUntil(partial.fixture.io,
                         [&] { return partial.fixture.count(Counter::goneBeforeSent) == 1; });
                EXPECT_EQ(partial.fixture.count(Counter::attemptsWritten), 0);
                partial.host.read(0);
                runUntil(partial.fixture.io, [&] { return partial.host.connections[0]->ended; });
                EXPECT_NE(partial.host.received.find("xxx"), std::string::npos);
                EXPECT_EQ(partial.host.received.find("end"), std::string::npos);
            }
}

TEST(ClientDisconnect, SendsNoRetryWhenTheHostFailsLater) {
    UnansweringHost host;
    auto& pendingParts = host.pendingParts;
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.connections.calls = 32;
    });
    DisconnectingClients leaving(fixture);
    runUntil(fixture.io, [&] { return pendingParts.size() == leaving.all.size(); });
    leaving.disconnectAll();
    leaving.expectNoticed(Counter::goneAfterSent);
    const auto failed = pendingParts;
    for (const StubFrameHost::Part& part : failed) part.answer("failed", "");
    runUntil(fixture.io, [&] { return fixture.count(Counter::lateFrames) == failed.size(); });
    TestClient after(fixture.io, fixture.gatherer->endpoint());
    after.send(query("after", {0}));
    runUntil(fixture.io, [&] { return pendingParts.size() == failed.size() + 1; });
    EXPECT_EQ(pendingParts.back().id, "after.0");
}

// Two hosts that do not answer the queries under test, and answer all others after 30 ms. The clock passes a
// millisecond a turn, while another client sends one query after the other.
class UnansweredPartsFixture {
public:
    explicit UnansweredPartsFixture(bool hedges)
        : fixture(hosts_.addresses(), [&](Config& c) {
              c.search = Config::Search{kAnyPort, {{"pallets", "pallet-lookup"}}};
              c.settings.parallelTries = hedges;
          }) {
        fixture.clock.set(fixture.clock.now());
        hosts_.onPart([this](const StubFrameHost::Part& part) {
            if (part.id[0] == 'o')
                due_.push_back({fixture.clock.now() + 30, part});
            else
                unanswered.push_back(part.id + part.text);
        });
    }
    void passUntil(const std::function<bool()>& done) {
        for (int turn = 0; !done(); ++turn) {
            ASSERT_LT(turn, 5000);
            passTurn();
        }
    }
    // How many of the unanswered parts are not of the query `id`.
    std::size_t unansweredBeside(const std::string& id) const {
        const auto isOther = [&](const std::string& part) { return !part.starts_with(id); };
        return static_cast<std::size_t>(std::count_if(unanswered.begin(), unanswered.end(), isOther));
    }

private:
    struct DueAnswer {
        Millis at;
        StubFrameHost::Part part;
    };
    void passTurn() {
        if (other_.answers.size() == otherQueries) {
            other_.send(query("o" + std::to_string(otherQueries), {static_cast<int>(otherQueries % 4)}));
            ++otherQueries;
        }
        fixture.clock.set(fixture.clock.now() + 1);
        fixture.gatherer->exchange().tick();
        runReady(fixture.io);
        for (; !due_.empty() && due_.front().at <= fixture.clock.now(); due_.pop_front())
            due_.front().part.answer("done", "v");
        runReady(fixture.io);
    }
    TwoFrameHosts hosts_;
    std::deque<DueAnswer> due_;

public:
    std::vector<std::string> unanswered;  // each part's id and text
    std::size_t otherQueries = 0;
    GathererFixture fixture;

private:
    TestClient other_{fixture.io, fixture.gatherer->endpoint()};
};

// A client that stays gets a hedged request, or a retry after the time-out; one that left does not.
TEST(ClientDisconnect, SendsNoHedgedRequestOrRetryWhenPartIsUnanswered) {
    for (const bool hedges : {true, false}) {
        UnansweredPartsFixture hosts(hedges);
        GathererFixture& fixture = hosts.fixture;
        const std::vector<std::string>& unanswered = hosts.unanswered;
        TestClient staying(fixture.io, fixture.gatherer->endpoint());
        hosts.passUntil([&] { return hosts.otherQueries == 20; });
        DisconnectingClients leaving(fixture);
        staying.send(query("stay", {0}));
        runUntil(fixture.io, [&] { return unanswered.size() == leaving.all.size() + 1; });
        leaving.otherQueries += 1;
        leaving.disconnectAll();
        leaving.expectNoticed(Counter::goneAfterSent);
        hosts.passUntil([&] { return unanswered.size() == leaving.all.size() + 2; });
        EXPECT_TRUE(unanswered.back().starts_with("stay.0"));
        EXPECT_EQ(fixture.count(Counter::attemptsTimedOut), hedges ? 0 : 1);
        // What the others would have been sent, they would have been sent by then.
        hosts.passUntil([&] { return staying.answers.size() == 1; });
        EXPECT_EQ(hosts.unansweredBeside("stay"), leaving.all.size());
    }
}

}  // namespace
