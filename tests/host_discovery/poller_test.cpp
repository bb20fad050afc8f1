// The poller against a scripted platform on loopback.
#include "host_discovery/poller.hpp"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <deque>
#include <thread>

#include "net/server.hpp"

namespace beechpoint::host_discovery {
namespace {

using namespace std::chrono_literals;

struct Scripted {
    int status = 200;
    std::string body;
    bool unresponsive = false;
};

std::string entry(const std::string& id) {
    return R"({"instance_id":")" + id + R"(","backend":"s","address":"10.0.0.1:80","state":"serving"})";
}
std::string page(const std::string& entries, const std::string& next = "null") {
    return R"({"instances":[)" + entries + R"(],"next_page_token":)" + next + "}";
}

class PollerTest : public ::testing::Test {
protected:
    PollerTest()
        : logger(clock, logging::Format::text, -1),
          platform(io, clock, logger, 16, [this](const net::HttpMessage& message, const auto& connection) {
              targets.emplace_back(message.target);
              if (script.empty()) return connection->respond(503, "text/plain", "no more in the script");
              const Scripted next = script.front();
              script.pop_front();
              if (next.unresponsive) return waiting.push_back(connection);
              connection->respond(next.status, "application/json", next.body);
          }) {
        platform.listen({asio::ip::address_v4::loopback(), 0});
        settings.address = "127.0.0.1:" + std::to_string(platform.endpoint().port());
        settings.reader.period = 5;
        settings.reader.periodPerPage = 0;
        settings.reader.backoffFirst = 5;
        settings.reader.callTimeout = 100;
    }

    void makePoller() {
        poller = std::make_unique<Poller>(io, clock, logger, settings, 1, 42,
                                          [this](const auto& list, Millis, bool changed) {
                                              lists.push_back(list);
                                              changes += changed ? 1 : 0;
                                          });
        poller->start(1, 0, nullptr);
    }

    template <class Condition>
    bool runUntil(Condition condition) {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < end) io.run_one_for(50ms);
        return condition();
    }

    Clock clock;
    Logger logger;
    asio::io_context io;
    net::HttpServer platform;
    std::deque<Scripted> script;
    std::vector<std::string> targets;
    std::vector<std::shared_ptr<net::HttpConnection>> waiting;
    Poller::Settings settings;
    std::unique_ptr<Poller> poller;
    std::vector<std::shared_ptr<const HostList>> lists;
    int changes = 0;
};

TEST_F(PollerTest, ReadsPagesRepeatedlyOverOneConnection) {
    script = {{200, page(entry("a"), "\"p-1\"")},
              {200, page(entry("b"))},
              {200, page(entry("a"), "\"p-1\"")},
              {200, page(entry("b"))}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 2; }));
    EXPECT_EQ(changes, 1);
    EXPECT_EQ(lists.back()->hosts.size(), 2u);
    ASSERT_GE(targets.size(), 4u);
    EXPECT_EQ(targets[0], "/instances");
    EXPECT_EQ(targets[1], "/instances?page_token=p-1");
    EXPECT_EQ(platform.connections(), 1u);
}

TEST_F(PollerTest, ContinuesAfterErrorsTimeoutsAndBrokenPages) {
    script = {{200, page(entry("a"))},
              {429, ""},
              {200, "{\"instances\":"},
              {200, "", true},
              {200, page(entry("a") + "," + entry("b"))}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 2; }));
    EXPECT_EQ(changes, 2);
    EXPECT_EQ(lists.back()->hosts.size(), 2u);
}

TEST_F(PollerTest, ReconnectsAfterClose) {
    script = {{200, page(entry("a"))}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 1; }));
    platform.closeIdle(-1);
    ASSERT_EQ(platform.connections(), 0u);
    for (int number = 0; number < 5; number++) script.push_back({200, page(entry("a"))});
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 2; }));
    EXPECT_EQ(changes, 1);
}

TEST_F(PollerTest, RemovesNoHostWhenPlatformIsUnreachable) {
    script = {{200, page(entry("a"))}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 1; }));
    platform.stopAccepting();
    platform.closeAll();
    ASSERT_TRUE(runUntil([&] { return poller->failures() >= 3; }));
    EXPECT_EQ(lists.back()->hosts.size(), 1u);
    EXPECT_TRUE(poller->running());
}

TEST_F(PollerTest, MakesNoCallWhenStoppedAndStartsAgain) {
    script = {{200, page(entry("a"))}, {200, page(entry("a"))}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 1; }));
    poller->stop();
    const auto calls = poller->calls();
    io.poll();
    EXPECT_EQ(poller->calls(), calls);
    EXPECT_FALSE(poller->running());
    poller->start(2, 1, lists.back());
    ASSERT_TRUE(runUntil([&] { return lists.size() >= 2; }));
}

TEST_F(PollerTest, FailsEachCallWhenAddressIsInvalid) {
    settings.address = "nowhere";
    makePoller();
    ASSERT_TRUE(runUntil([&] { return poller->failures() >= 2; }));
    EXPECT_TRUE(lists.empty());
}

TEST_F(PollerTest, CallsNoHandlerWhenDestroyedDuringCall) {
    script = {{200, "", true}};
    makePoller();
    ASSERT_TRUE(runUntil([&] { return waiting.size() == 1; }));
    poller.reset();
    io.poll();
    EXPECT_TRUE(lists.empty());
}

// Its timer has run out, but its handler has not run yet.
TEST_F(PollerTest, CallsNoHandlerWhenDestroyedBetweenTimerAndCall) {
    script = {{200, page(entry("a"))}};
    makePoller();
    poller->stop();
    poller->start(2, 0, nullptr);  // due at once
    const Millis due = clock.now() + 1;
    while (clock.now() < due) std::this_thread::yield();
    // The other handler is run first and takes the poller away, while that of the timer is ready already.
    asio::post(io, [&] { poller.reset(); });
    io.poll();
    EXPECT_TRUE(targets.empty());
}

}  // namespace
}  // namespace beechpoint::host_discovery
