// Connections to hosts that are lost or unresponsive, or bring corrupt or late answers.
#include <gtest/gtest.h>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

TEST(BackendConnection, RetriesPartWhenLost) {
    TwoFrameHosts hosts;
    int lost = 0;
    hosts.onPart([&](const StubFrameHost::Part& part) {
        if (lost++ == 0)
            part.connection.close();
        else
            part.answer("done", "v");
    });
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(client.request(query("t", {0})).status, 200);
    EXPECT_EQ(fixture.count(Counter::attemptsConnectionLost), 1);
    EXPECT_EQ(fixture.count(Counter::attemptsNoConnection), 0);
}

TEST(BackendConnection, SendsPartElsewhereWhenRefused) {
    StubFrameHost host(eventLoop());
    tcp::acceptor none(eventLoop(), kAnyPort);  // refuses once closed
    const std::string nowhere = "127.0.0.1:" + std::to_string(none.local_endpoint().port());
    none.close();
    GathererFixture fixture({nowhere, host.address()});
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    for (int i = 0; i < 20 && fixture.count(Counter::attemptsNoConnection) == 0; ++i)
        EXPECT_EQ(client.request(query("t" + std::to_string(i), {0, 1, 2, 3})).status, 200);
    EXPECT_GT(fixture.count(Counter::attemptsNoConnection), 0);
    EXPECT_EQ(fixture.count(Counter::attemptsConnectionLost), 0);
}

TEST(BackendConnection, IsClosedAloneWhenItsFrameIsBad) {
    TwoFrameHosts hosts;
    int bad = 0;
    hosts.onPart([&](const StubFrameHost::Part& part) {
        if (bad++ == 0)
            part.connection.send("\xff\xff\xff\xff");
        else
            part.answer("done", "v");
    });
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(client.request(query("t", {0})).status, 200);
    EXPECT_EQ(fixture.count(Counter::badFrames), 1);
}

// A corrupt answer is one failed attempt. What else was in flight on its connection is sent again at once,
// and the coordinator does not count the host as down.
TEST(BackendConnection, RetriesAllItsPartsAtOnceWhenAnAnswerIsCorrupt) {
    const std::function<std::string(const std::string&)> corruptAnswers[] = {
        [](const std::string&) { return std::string("\xff\xff\xff\xff"); },
        [](const std::string&) { return std::string("\0\0\0\x40QQ", 6); },
        [](const std::string& id) { return std::string("\0\0\0\x40R", 5) + id + " done 1 -\nv"; },  // no end
        [](const std::string& id) { return std::string("\xb2\xd0\x5e\0R", 5) + id + " done 1 -\nv"; },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " done without end"; },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " maybe 1 -\nvv"; },
        [](const std::string&) { return std::string("\0\0\0\x10Rx.9 done 1 -\nvv", 20); },
        [](const std::string& id) { return std::string("\0\0\0\x10R", 5) + id + " done 1 -\n\xff\xfe"; }};
    for (const auto& corruptAnswer : corruptAnswers) {
        SingleHostFixture single;
        int parts = 0;
        single.host.onPart = [&](const StubFrameHost::Part& part) {
            if (++parts > 2) return part.answer("done", "good");
            if (parts == 2) part.connection.send(corruptAnswer(part.id));  // and nothing for the other
        };
        const Millis began = single.fixture.clock.now();
        const Answer answer = single.client.request(query("t", {0, 1}));
        EXPECT_EQ(answer.status, 200);
        EXPECT_FALSE(answer.has("vv"));
        EXPECT_LT(single.fixture.clock.now() - began, 200);
        EXPECT_EQ(single.fixture.count(Counter::badFrames), 1);
        EXPECT_TRUE(single.host.connections[0]->ended);
        EXPECT_EQ(single.fixture.count(Counter::attemptsConnectionLost), 0u);
        EXPECT_EQ(single.fixture.count(Counter::attemptsNoConnection), 0u);
    }
}

// A good answer counts, whatever comes behind it; its connection takes nothing new. A corrupt report of
// the host's load in it is ignored.
TEST(BackendConnection, CountsGoodAnswerAndTakesNothingNewWhenCorruptBytesFollow) {
    const std::pair<std::string, std::size_t> cases[] = {
        {"noise", 2}, {"copy", 2}, {std::string("\0\0\0\x40R", 5), 2}, {"report", 1}};
    for (const auto& [suffix, connections] : cases) {
        SingleHostFixture single;
        single.host.onPart = [&, suffix = suffix](const StubFrameHost::Part& part) {
            std::string frame;
            backend::writeFrame(frame, 'R',
                                part.id + " done 1 " + (suffix == "report" ? "a=b=c,,\xff" : "-") + "\nv");
            if (suffix == "copy")
                part.connection.send(frame + frame);
            else if (suffix == "report")
                part.connection.send(frame);
            else
                part.connection.send(frame + suffix);
        };
        EXPECT_TRUE(single.client.request(query("t1", {0})).has(R"("value":"v")"));
        EXPECT_TRUE(single.client.request(query("t2", {1})).has(R"("value":"v")"));
        ASSERT_EQ(single.host.connections.size(), connections);
        EXPECT_EQ(single.fixture.count(Counter::attemptsSent), 2);
    }
}

// An answer to a part that was given up is late, and no fault; one to a part that was never sent is.
TEST(BackendConnection, IgnoresAnswerWhenItsPartWasGivenUp) {
    SingleHostFixture single;
    std::vector<StubFrameHost::Part> pendingParts;
    single.host.onPart = [&](const StubFrameHost::Part& part) { pendingParts.push_back(part); };
    {
        TestClient leaving(single.fixture.io, single.fixture.gatherer->endpoint());
        leaving.send(query("t", {0}));
        runUntil(single.fixture.io, [&] { return pendingParts.size() == 1; });
    }
    runUntil(single.fixture.io, [&] { return single.fixture.count(Counter::attemptsCancelled) == 1; });
    pendingParts[0].answer("done", "late");
    runUntil(single.fixture.io, [&] { return single.fixture.count(Counter::lateFrames) == 1; });
    single.host.onPart = [](const StubFrameHost::Part& part) { part.answer("done", "v"); };
    EXPECT_EQ(single.client.request(query("t2", {0})).status, 200);
    EXPECT_EQ(single.fixture.count(Counter::badFrames), 0);
}

// A connection becomes unresponsive while its host is healthy: the next part takes another connection, and once
// that is answered what was in flight is sent again at once, not at its deadline.
TEST(BackendConnection, IsReplacedWhenUnresponsiveWhileItsHostAnswers) {
    SingleHostFixture single;
    single.host.onPart = [&](const StubFrameHost::Part& part) {
        if (&part.connection != single.host.connections[0].get()) part.answer("done", "v");
    };
    TestClient other(single.fixture.io, single.fixture.gatherer->endpoint());
    const Millis began = single.fixture.clock.now();
    single.client.send(query("t1", {0}));
    runUntil(single.fixture.io, [&] { return single.fixture.clock.now() - began > 150; });
    ASSERT_TRUE(single.client.answers.empty());
    EXPECT_EQ(other.request(query("t2", {1})).status, 200);
    runUntil(single.fixture.io, [&] { return single.client.answers.size() == 1; });
    EXPECT_EQ(single.client.answers[0].status, 200);
    EXPECT_LT(single.fixture.clock.now() - began, 800);
    ASSERT_EQ(single.host.connections.size(), 2);
    EXPECT_EQ(single.fixture.count(Counter::silentConnections), 1);
}

TEST(BackendConnection, IsKeptWhenItsHostIsSlowForAllParts) {
    SingleHostFixture slow;
    std::vector<StubFrameHost::Part> pendingParts;
    slow.host.onPart = [&](const StubFrameHost::Part& part) { pendingParts.push_back(part); };
    for (int i = 0; i < 60; ++i) {
        pendingParts.clear();
        slow.client.send(query("w" + std::to_string(i), {0}));
        runUntil(slow.fixture.io, [&] { return pendingParts.size() == 1; });
        slow.fixture.clock.set(slow.fixture.clock.now() + 40);
        pendingParts[0].answer("done", "v");
        runUntil(slow.fixture.io,
                 [&] { return slow.client.answers.size() == static_cast<std::size_t>(i) + 1; });
    }
    pendingParts.clear();
    slow.client.send(query("w", {0}));
    runUntil(slow.fixture.io, [&] { return pendingParts.size() == 1; });
    slow.fixture.clock.set(slow.fixture.clock.now() + 100);
    TestClient more(slow.fixture.io, slow.fixture.gatherer->endpoint());
    more.send(query("x", {1}));
    runUntil(slow.fixture.io, [&] { return pendingParts.size() == 2; });
    ASSERT_EQ(slow.host.connections.size(), 1);
    EXPECT_EQ(slow.fixture.count(Counter::silentConnections), 0);
}

TEST(BackendConnection, TakesNothingNewWhenAllItsPartsWereGivenUp) {
    SingleHostFixture single;
    single.host.onPart = [&](const StubFrameHost::Part& part) {
        if (&part.connection != single.host.connections[0].get()) part.answer("done", "v");
    };
    EXPECT_EQ(single.client.request(query("t3", {0}, 200)).status, 429);
    EXPECT_EQ(single.client.request(query("t4", {0}, 1000)).status, 200);
}

// A part was given up, and is in flight again on the same connection: the first answer ends the earlier
// attempt, not the later.
TEST(BackendConnection, MatchesLateAnswerToTheEarlierAttempt) {
    StubFrameHost host(eventLoop());
    std::vector<StubFrameHost::Part> pendingParts;
    host.onPart = [&](const StubFrameHost::Part& part) {
        if (part.id == "t.0")
            pendingParts.push_back(part);
        else
            part.answer("done", "v");
    };
    GathererFixture fixture({host.address()}, [](Config& c) {
        useOneHostAndConnection(c);
        c.settings.parallelTries = false;
        c.connections.calls = 32;
    });
    TestClient client(fixture.io, fixture.gatherer->endpoint()),
        other(fixture.io, fixture.gatherer->endpoint());
    client.send(query("t", {0}));
    std::size_t asked = 0;
    runUntil(fixture.io, [&] {  // other answers come on the connection all the time
        if (other.answers.size() == asked) other.send(query("o" + std::to_string(asked++), {1}));
        return pendingParts.size() == 2;
    });
    EXPECT_EQ(fixture.count(Counter::attemptsTimedOut), 1);
    EXPECT_EQ(&pendingParts[0].connection, &pendingParts[1].connection);
    pendingParts[0].answer("full", "");
    runUntil(fixture.io, [&] { return fixture.count(Counter::lateFrames) == 1; });
    EXPECT_EQ(fixture.count(Counter::attemptsTurnedAway), 0);
    ASSERT_EQ(pendingParts.size(), 2);
    pendingParts[1].answer("done", "v");
    runUntil(fixture.io, [&] { return client.answers.size() == 1; });
    EXPECT_EQ(client.answers[0].status, 200);
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 2 + asked);
}

// The host's end is in the socket when a part is written: it was never sent, so a class that is not
// idempotent goes on.
TEST(BackendConnection, SendsPartAnewWhenIdleConnectionHadEnded) {
    for (int i = 0; i < 20; ++i) {
        StubFrameHost host(eventLoop());
        GathererFixture fixture({host.address()}, [](Config& c) {
            useOneHostAndConnection(c);
            c.settings.classes[0].effect = coordinator::Effect::unsafe;
        });
        TestClient client(fixture.io, fixture.gatherer->endpoint());
        EXPECT_EQ(client.request(query("t1", {0})).status, 200);
        client.send(query("t2", {0}));  // first, so that it is handled first
        host.connections[0]->close();
        runUntil(fixture.io, [&] { return client.answers.size() == 2; });
        EXPECT_EQ(client.answers[1].status, 200);
        EXPECT_EQ(fixture.count(Counter::dials), 2);
        EXPECT_EQ(fixture.count(Counter::attemptsConnectionLost), 0);
        EXPECT_EQ(fixture.count(Counter::attemptsWritten), 2);
    }
}

}  // namespace
