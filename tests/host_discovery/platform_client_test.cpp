// Calls of the platform on a kept connection.
#include "host_discovery/platform_client.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <termios.h>

#include <optional>

#include "loopback.hpp"

namespace beechpoint::host_discovery {
namespace {

using test::Peer;
using test::ScriptedHost;
using test::until;

constexpr Millis kTimeout = 10'000;

std::string answer(const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

class PlatformClientTest : public ::testing::Test {
protected:
    PlatformClientTest()
        : platform(io), client(io, fmt::format("127.0.0.1:{}", platform.endpoint().port())) {}

    std::string get(const std::string& target) {
        std::optional<std::string> body;
        client.get(target, kTimeout, [&](int, std::string_view bytes) { body = std::string(bytes); });
        EXPECT_TRUE(until(io, [&] { return body.has_value(); }));
        return body.value_or("");
    }

    asio::io_context io;
    ScriptedHost platform;
    PlatformClient client;
};

TEST_F(PlatformClientTest, SurplusAnswerIsNotThatOfTheNextCall) {
    std::size_t calls = 0;
    platform.onRequest = [&](Peer& peer) {
        peer.got.clear();
        peer.send(answer(fmt::format("page {}", ++calls)));
    };
    EXPECT_EQ(get("/a"), "page 1");
    platform.peers.front()->send(answer("surplus"));
    asio::ip::tcp::socket& unread = platform.peers.front()->socket;
    ASSERT_TRUE(until(io, [&] {  // the bytes have left for the client
        int queued = 0;
        return ioctl(unread.native_handle(), TIOCOUTQ, &queued) == 0 && queued == 0;
    }));
    EXPECT_EQ(get("/b"), "page 2");
    EXPECT_EQ(get("/c"), "page 3");
    EXPECT_EQ(platform.peers.size(), 2u);
}

}  // namespace
}  // namespace beechpoint::host_discovery
