// The watch of discovery: updates, time-outs, moves, and corrupt or endless lists.
#include "discovery/watch.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string httpChunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

std::string hostListUpdate(const std::string& address, const std::string& state, int generation) {
    return "{\"generation\":" + std::to_string(generation) +
           R"(,"reset":false,"instances":[{"instanceId":"h0","hostPort":")" + address +
           R"(","zone":"a","machineType":"m","cell":0,"lifecycle":")" + state +
           R"(","weight":1.0,"startedAtMs":0}]})";
}

std::string hostListUpdate(int generation, const std::string& state = "Ready") {
    return fmt::format(
        R"({{"generation":{},"reset":false,"instances":[{{"instanceId":"h{{\"}}","hostPort":"127.0.0.1:1",)"
        R"("cell":0,"lifecycle":"{}"}}]}})",
        generation, state);
}

std::string indented(const std::string& json) { return nlohmann::json::parse(json).dump(2); }

struct WatchFixture {
    explicit WatchFixture(discovery::WatchTimes times = {})
        : watch(
              io, clock, counters, log, discoveryServer.endpoint(), 3,
              [this](const HostList& list) { lists.push_back(list); }, times) {
        watch.start();
        runUntil(io, [&] { return discoveryServer.targets.size() == 1; });
    }
    ~WatchFixture() {
        watch.stop();
        runReady(io);
    }
    asio::io_context& io = eventLoop();
    Clock clock;
    Counters counters;
    Logger log{clock};
    StubHttpHost discoveryServer{io};
    std::vector<HostList> lists;
    discovery::Watch watch;
};

TEST(Watch, StopsQueriesToAHostWhenItDrains) {
    TwoFrameHosts hosts;
    GathererFixture fixture(hosts.addresses());
    StubHttpHost& discoveryServer = fixture.discovery;
    runUntil(fixture.io, [&] { return !discoveryServer.targets.empty(); });
    EXPECT_EQ(discoveryServer.targets[0], "/discovery/hosts?watch=1&from=0");
    LoopbackConnectionPtr watch = discoveryServer.connections.back();
    const std::string line = hostListUpdate(hosts.first.address(), "Terminating", 7) + "\n";
    watch->send(kWatchHead + httpChunk("\n"));
    for (const char c : line) watch->send(httpChunk(std::string(1, c)));  // split anywhere
    runUntil(fixture.io, [&] { return fixture.count(Counter::listUpdates) == 2; });
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(client.request(query("t" + std::to_string(i), {0, 1, 2, 3})).status, 200);
    ASSERT_TRUE(hosts.first.frames.empty());
    // A corrupt update changes nothing, is counted, and ends its watch: to read what comes behind it would
    // miss an update. The next watch goes on from the last good generation.
    watch->send(httpChunk("{\"generation\":8}\n") +
                httpChunk(hostListUpdate(hosts.first.address(), "Ready", 9) + "\n"));
    runUntil(fixture.io, [&] { return discoveryServer.targets.size() == 2; });
    EXPECT_EQ(fixture.count(Counter::badListUpdates), 1);
    EXPECT_EQ(fixture.count(Counter::listUpdates), 2);
    EXPECT_EQ(discoveryServer.targets[1], "/discovery/hosts?watch=1&from=7");
    watch = discoveryServer.connections.back();
    watch->send(kWatchHead + httpChunk(hostListUpdate(hosts.first.address(), "Ready", 9) + "\n"));
    runUntil(fixture.io, [&] { return fixture.count(Counter::listUpdates) == 3; });
    watch->close();  // and the next watch goes on from there
    runUntil(fixture.io, [&] { return discoveryServer.targets.size() == 3; });
    EXPECT_EQ(discoveryServer.targets[2], "/discovery/hosts?watch=1&from=9");
}

TEST(Watch, IsOpenedAgainWhenNoLineComes) {
    Clock clock;
    Counters counters;
    Logger log(clock);
    StubHttpHost discoveryServer(eventLoop());
    discovery::Watch watch(eventLoop(), clock, counters, log, discoveryServer.endpoint(), 3,
                           [](const HostList&) {}, {50, 1});
    watch.start();
    runUntil(eventLoop(), [&] { return discoveryServer.targets.size() == 3; });
    EXPECT_EQ(discoveryServer.targets[2], "/discovery/hosts?watch=1&from=3");
    EXPECT_GE(counters.get(Counter::watchesBroken), 2);
}

// Both are due before the loop turns: the time-out and a line. The line is newer.
TEST(Watch, CountsLineWhenItsTimeOutIsDueToo) {
    WatchFixture fixture({60, 1000, 1});
    fixture.discoveryServer.connections[0]->send(kWatchHead + httpChunk("\n") +
                                                 httpChunk(hostListUpdate(4) + "\n"));
    runUntil(fixture.io, [&] { return fixture.lists.size() == 1; });
    fixture.discoveryServer.connections[0]->send(httpChunk("\n"));
    blockEventLoop(std::chrono::milliseconds(80));
    fixture.io.restart();
    fixture.io.poll_one();
    runReady(fixture.io);
    EXPECT_EQ(fixture.counters.get(Counter::watchesBroken), 0);
    runUntil(fixture.io, [&] {
        return fixture.counters.get(Counter::watchesBroken) == 1;
    });  // no line comes from then on
    runUntil(fixture.io, [&] { return fixture.discoveryServer.targets.size() == 2; });
    EXPECT_EQ(fixture.discoveryServer.targets[1], "/discovery/hosts?watch=1&from=4");
}

// The timer of the backoff is due when the watch is moved.
TEST(Watch, IsOpenedOnceWhenMovedAsItsBackoffEnds) {
    StubHttpHost other(eventLoop());
    WatchFixture fixture({3000, 1000, 20});
    fixture.discoveryServer.connections[0]->close();
    runUntil(fixture.io, [&] { return fixture.counters.get(Counter::watchesBroken) == 1; });
    bool moved = false;
    asio::steady_timer first(fixture.io, std::chrono::milliseconds(1));
    first.async_wait([&](asio::error_code) {
        fixture.watch.move(other.endpoint());
        moved = true;
    });
    blockEventLoop(std::chrono::milliseconds(60));  // both are due by now
    runUntil(fixture.io, [&] { return other.targets.size() == 1; });
    other.connections[0]->send(kWatchHead + httpChunk(hostListUpdate(9) + "\n"));
    runUntil(fixture.io, [&] { return fixture.lists.size() == 1; });
    runReady(fixture.io);
    EXPECT_TRUE(moved);
    ASSERT_EQ(fixture.discoveryServer.targets.size(), 1);
    ASSERT_EQ(other.targets.size(), 1);
    ASSERT_EQ(other.connections.size(), 1);
}

// A list that can't be used ends its watch, so that no update is missed; a list may be spread over lines,
// and need not end.
TEST(Watch, EndsOnCorruptListAndReadsListOverSeveralLines) {
    WatchFixture fixture({3000, 1000, 1});
    fixture.discoveryServer.connections[0]->send(
        kWatchHead + httpChunk(indented(hostListUpdate(4)) + "\n\n") +
        httpChunk(indented(hostListUpdate(5, "Terminating")) + "\n"));
    runUntil(fixture.io, [&] { return fixture.lists.size() == 2; });
    EXPECT_EQ(fixture.lists[1].entries[0].entry.id, "h{\"}");
    EXPECT_EQ(fixture.watch.generation(), 5);
    const std::string corruptLists[] = {"nonsense\n", "{\"generation\":6}\n",
                                        hostListUpdate(6).substr(0, 40) + "\n\n", "[]\n"};
    std::uint64_t bad = 0;
    for (const std::string& text : corruptLists) {
        fixture.discoveryServer.connections.back()->send((bad == 0 ? "" : kWatchHead) + httpChunk(text) +
                                                         httpChunk(hostListUpdate(7) + "\n"));
        runUntil(fixture.io, [&] { return fixture.discoveryServer.targets.size() == bad + 2; });
        EXPECT_EQ(fixture.counters.get(Counter::badListUpdates), ++bad);
        ASSERT_EQ(fixture.lists.size(), 2);
        EXPECT_EQ(fixture.discoveryServer.targets.back(), "/discovery/hosts?watch=1&from=5");
    }
    fixture.discoveryServer.connections.back()->send(kWatchHead + httpChunk(hostListUpdate(7) + "\n"));
    runUntil(fixture.io, [&] { return fixture.lists.size() == 3; });
}

// Neither memory nor time is spent without bound on it.
TEST(Watch, EndsWhenAListNeverEnds) {
    WatchFixture endless({60, 1000, 1});
    endless.discoveryServer.connections[0]->send(kWatchHead + httpChunk("{\"a\":\n"));
    for (int i = 0; endless.counters.get(Counter::watchesBroken) == 0; ++i) {
        ASSERT_LT(i, 1'000'000);
        endless.discoveryServer.connections[0]->send(httpChunk("[\n"));
        runReady(endless.io);
    }
    ASSERT_TRUE(endless.lists.empty());
}

// Discovery that accepts and says nothing is asked again well before the time-out of a watch that was
// heard, and before parts may no longer go to a host whose drain it would tell.
TEST(Watch, IsOpenedAgainSoonWhenDiscoveryNeverAnswers) {
    constexpr discovery::WatchTimes times;
    EXPECT_LT(times.connect + 2 * times.again, 1000);
    WatchFixture fixture({20'000, 40, 1});
    runUntil(fixture.io, [&] { return fixture.discoveryServer.targets.size() == 3; });
    EXPECT_GE(fixture.counters.get(Counter::watchesBroken), 2);
}

}  // namespace
