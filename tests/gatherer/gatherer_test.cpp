// The gatherer with real sockets: limits, deadlines, retries, clients that leave, and graceful shutdown.
#include <gtest/gtest.h>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

TEST(Gatherer, RefusesQueryWhenOverTheOpenCap) {
    TwoFrameHosts hosts;
    hosts.onPart([](const StubFrameHost::Part&) {});
    GathererFixture fixture(hosts.addresses(), [](Config& c) { c.settings.openCap = 4; });
    TestClient first(fixture.io, fixture.gatherer->endpoint()),
        second(fixture.io, fixture.gatherer->endpoint());
    first.send(query("t1", {0, 1}));
    runUntil(fixture.io, [&] { return fixture.gatherer->exchange().live() == 1; });
    const Answer refused = second.request(query("t2", {0, 1}));
    EXPECT_EQ(refused.status, 429);
    EXPECT_TRUE(refused.has("Retry-After: 0.500"));
}

TEST(Gatherer, AnswersAndCancelsPartsWhenTheDeadlineComes) {
    TwoFrameHosts hosts;
    hosts.onPart([](const StubFrameHost::Part&) {});
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    const Millis began = fixture.clock.now();
    const Answer answer = client.request(query("t", {0, 1}, 300));
    EXPECT_EQ(answer.status, 429);
    EXPECT_TRUE(answer.has("Retry-After"));
    EXPECT_LE(fixture.clock.now() - began, 350);
    runUntil(fixture.io, [&] {  // what was in flight is cancelled
        for (const StubFrameHost* host : {&hosts.first, &hosts.second})
            for (const std::string& frame : host->frames)
                if (frame == "Ct.0") return true;
        return false;
    });
}

TEST(Gatherer, RetriesPartWhenItsHostFails) {
    TwoFrameHosts hosts;
    int failures = 0;
    hosts.onPart(
        [&](const StubFrameHost::Part& part) { part.answer(failures++ == 0 ? "failed" : "done", "v"); });
    GathererFixture fixture(hosts.addresses());
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    EXPECT_EQ(client.request(query("t", {0})).status, 200);
    EXPECT_EQ(fixture.count(Counter::attemptsSent), 2);
    EXPECT_EQ(fixture.count(Counter::attemptsError), 1);
}

TEST(Gatherer, CancelsPartsWhenTheirClientLeaves) {
    TwoFrameHosts hosts;
    hosts.onPart([](const StubFrameHost::Part&) {});
    GathererFixture fixture(hosts.addresses());
    {
        TestClient client(fixture.io, fixture.gatherer->endpoint());
        client.send(query("t", {0}));
        runUntil(fixture.io, [&] { return hosts.first.frames.size() + hosts.second.frames.size() == 1; });
    }
    runUntil(fixture.io, [&] { return hosts.first.frames.size() + hosts.second.frames.size() == 2; });
    const StubFrameHost& askedHost = hosts.first.frames.empty() ? hosts.second : hosts.first;
    EXPECT_EQ(askedHost.frames.back(), "Ct.0");
    EXPECT_EQ(fixture.count(Counter::clientsGone), 1);
    EXPECT_EQ(fixture.gatherer->exchange().live(), 0);
}

TEST(Gatherer, AnswersPendingQueriesBeforeItStops) {
    TwoFrameHosts hosts;
    std::vector<StubFrameHost::Part> pendingParts;
    hosts.onPart([&](const StubFrameHost::Part& part) { pendingParts.push_back(part); });
    GathererFixture fixture(hosts.addresses());
    TestClient busy(fixture.io, fixture.gatherer->endpoint()), idle(fixture.io, fixture.gatherer->endpoint());
    busy.send(query("t", {0}));
    runUntil(fixture.io, [&] { return pendingParts.size() == 1; });
    bool stopped = false;
    const Millis began = fixture.clock.now();
    fixture.gatherer->stop([&] { stopped = true; });
    {
        TestClient late(fixture.io, fixture.gatherer->endpoint());  // still accepted
        const Answer answer = late.request("GET /up HTTP/1.1\r\n\r\n");
        EXPECT_EQ(answer.status, 503);
        EXPECT_FALSE(answer.keepAlive);
    }
    runUntil(fixture.io, [&] { return idle.connection->ended; });
    EXPECT_FALSE(stopped);
    EXPECT_GE(fixture.clock.now() - began, 400);
    pendingParts[0].answer("done", "v");
    runUntil(fixture.io, [&] { return stopped; });
    ASSERT_EQ(busy.answers.size(), 1);
    EXPECT_EQ(busy.answers[0].status, 200);
    EXPECT_FALSE(busy.answers[0].keepAlive);
    EXPECT_LT(fixture.clock.now() - began, 3400);
}

void useLongDeadlines(Config& c) {
    c.settings.cells = c.settings.span = 1;
    for (auto& settings : c.settings.classes) settings.aim = settings.deadline = 10'000'000'000;
}

// SIGKILL comes 3.7 s after SIGTERM at the soonest, however long the deadlines are: by then each pending
// query has its answer.
TEST(Gatherer, AnswersPendingQueriesBeforeSigkillWhenDeadlinesAreLong) {
    for (const bool unsafe : {false, true}) {
        UnansweringHost host;
        auto& pendingParts = host.pendingParts;
        GathererFixture fixture({host.address()}, [&](Config& c) {
            useLongDeadlines(c);
            if (unsafe) c.settings.classes[0].effect = coordinator::Effect::unsafe;
        });
        TestClient client(fixture.io, fixture.gatherer->endpoint());
        client.send(query("t", {0}, 10'000));
        runUntil(fixture.io, [&] { return pendingParts.size() == 1; });
        bool stopped = false;
        const Millis began = fixture.clock.now();
        fixture.clock.set(began);
        fixture.gatherer->stop([&] { stopped = true; });
        fixture.clock.set(began + 3300);
        runReady(fixture.io);
        ASSERT_TRUE(client.answers.empty());
        EXPECT_FALSE(stopped);
        fixture.clock.set(began + 3420);
        runUntil(fixture.io, [&] { return client.answers.size() == 1; });
        EXPECT_EQ(client.answers[0].status, unsafe ? 500 : 429);
        EXPECT_FALSE(client.answers[0].keepAlive);
        client.connection->close();
        fixture.clock.set(began + 3560);
        runUntil(fixture.io, [&] { return stopped; });
    }
}

// A deadline of 1 s brings SIGKILL after 1.7 s: a query of 1 s on an idle connection that comes after 0.7 s
// could not be answered.
TEST(Gatherer, ClosesIdleConnectionsWhenStoppingLeavesTooLittleTime) {
    StubFrameHost host(eventLoop());
    GathererFixture fixture({host.address()}, [](Config& c) {
        useLongDeadlines(c);
        for (auto& settings : c.settings.classes) settings.aim = settings.deadline = 1'000'000'000;
    });
    bool stopped = false;
    const Millis began = fixture.clock.now();
    fixture.clock.set(began);
    fixture.gatherer->stop([&] { stopped = true; });
    fixture.clock.set(began + 400);
    TestClient late(fixture.io, fixture.gatherer->endpoint());
    runUntil(fixture.io, [&] { return fixture.gatherer->clients() == 1; });
    fixture.clock.set(began + 690);
    runReady(fixture.io);
    EXPECT_FALSE(late.connection->ended);
    EXPECT_FALSE(stopped);
    fixture.clock.set(began + 701);
    runUntil(fixture.io, [&] { return late.connection->ended && stopped; });
}

}  // namespace
