// Two gateways on loopback sockets hear from each other what waits at hosts.
#include "gateway/load_sharing.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace beechpoint::gateway {
namespace {

constexpr const char* kFirstIp = "127.0.0.1";
constexpr const char* kSecondIp = "127.0.0.2";
constexpr auto kMost = std::chrono::seconds(10);

std::uint16_t freePort(asio::io_context& io) {
    asio::ip::udp::socket probe(io, {asio::ip::make_address(kFirstIp), 0});
    return probe.local_endpoint().port();
}

leases::Gateway gateway(const std::string& name, const std::string& ip, std::uint64_t session) {
    leases::Gateway made;
    made.name = name;
    made.zone = "z";
    made.region = "r";
    made.session = session;
    made.frontAddress = ip + ":80";
    return made;
}

class LoadSharingTest : public ::testing::Test {
protected:
    LoadSharingTest()
        : log(clock, logging::Format::json),
          first(io, clock, log, {"a", "z", "r", 1}, [](const auto&) {}),
          second(io, clock, log, {"b", "z", "r", 2}, [this](const dispatch::PeerLoad& load) {
              if (!load.hosts.empty()) heard = load;
          }) {
        const std::vector<leases::Gateway> both{gateway("a", kFirstIp, 1), gateway("b", kSecondIp, 2)};
        first.gateways(both);
        second.gateways(both);
    }
    // Runs the loop until the condition holds.
    template <class Condition>
    bool until(Condition holds) {
        const auto end = std::chrono::steady_clock::now() + kMost;
        while (!holds() && std::chrono::steady_clock::now() < end) io.run_one_for(kMost);
        return holds();
    }

    asio::io_context io;
    Clock clock;
    Logger log;
    LoadSharing first, second;
    std::optional<dispatch::PeerLoad> heard;
};

TEST_F(LoadSharingTest, WhatOneTellsTheOtherHears) {
    const std::uint16_t port = freePort(io);
    first.start(kFirstIp, port);
    second.start(kSecondIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {{7, 1.5}}});
    ASSERT_TRUE(until([&] { return heard.has_value(); }));
    EXPECT_EQ(heard->source, 1u);
    EXPECT_EQ(heard->hosts, (std::vector<dispatch::HostLoad>{{7, 2, 0.5}}));
    first.stop();
    second.stop();
    EXPECT_TRUE(until([&] { return io.stopped() || io.poll() == 0; }));
}

// What was lost is told again with the next whole word.
TEST_F(LoadSharingTest, OneThatStartsLaterHearsOfWhatWaitsAlready) {
    const std::uint16_t port = freePort(io);
    first.start(kFirstIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {}});
    second.start(kSecondIp, port);
    EXPECT_TRUE(until([&] { return heard.has_value(); }));
    first.stop();
    second.stop();
}

TEST_F(LoadSharingTest, WithoutItsPortNothingIsSharedAndNothingFails) {
    const std::uint16_t port = freePort(io);
    asio::ip::udp::socket other(io, {asio::ip::make_address(kFirstIp), port});
    first.start(kFirstIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {}});
    first.start("not an address", port);
    first.stop();
    EXPECT_FALSE(heard);
}

}  // namespace
}  // namespace beechpoint::gateway
