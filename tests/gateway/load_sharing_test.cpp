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
              if (!load.hosts.empty()) received = load;
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
    std::optional<dispatch::PeerLoad> received;
};

TEST_F(LoadSharingTest, PeerReceivesReportedLoad) {
    const std::uint16_t port = freePort(io);
    first.start(kFirstIp, port);
    second.start(kSecondIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {{7, 1.5}}});
    ASSERT_TRUE(until([&] { return received.has_value(); }));
    EXPECT_EQ(received->source, 1u);
    EXPECT_EQ(received->hosts, (std::vector<dispatch::HostLoad>{{7, 2, 0.5}}));
    first.stop();
    second.stop();
    EXPECT_TRUE(until([&] { return io.stopped() || io.poll() == 0; }));
}

// What was lost is reported again with the next full report.
TEST_F(LoadSharingTest, PeerStartedLaterReceivesLoadThatWaitsAlready) {
    const std::uint16_t port = freePort(io);
    first.start(kFirstIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {}});
    second.start(kSecondIp, port);
    EXPECT_TRUE(until([&] { return received.has_value(); }));
    first.stop();
    second.stop();
}

TEST_F(LoadSharingTest, SharesNothingAndDoesNotFailWhenPortIsTaken) {
    const std::uint16_t port = freePort(io);
    asio::ip::udp::socket other(io, {asio::ip::make_address(kFirstIp), port});
    first.start(kFirstIp, port);
    first.ownLoad({{{7, 2, 0.5}}, {}});
    first.start("not an address", port);
    first.stop();
    EXPECT_FALSE(received);
}

}  // namespace
}  // namespace beechpoint::gateway
