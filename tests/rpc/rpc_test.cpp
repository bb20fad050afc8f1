// Calls between a real client and a real server on loopback.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rpc/client.hpp"
#include "rpc/server.hpp"
#include "rpc_fixture.hpp"

namespace beechpoint::rpc {
namespace {

constexpr Millis kShort = 60;

class RpcTest : public RpcFixture {};

TEST_F(RpcTest, ReturnsAnswerOfCall) {
    const auto server = serve(echo);
    Client client(io_, log_);
    EXPECT_EQ(callAndWait(client, addressOf(*server), "a").value(), "re:a");
    EXPECT_EQ(callAndWait(client, addressOf(*server), "").value(), "re:");
    const std::string large(1 << 20, 'x');
    EXPECT_EQ(callAndWait(client, addressOf(*server), large).value(), "re:" + large);
    EXPECT_EQ(client.peers(), 1u);
    EXPECT_EQ(client.outstanding(), 0u);
}

TEST_F(RpcTest, AnswersOutstandingCallsInAnyOrder) {
    constexpr std::size_t kCalls = 600;
    std::vector<std::pair<std::string, Reply>> pending;
    const auto server = serve(
        [&](std::string bytes, Reply reply) { pending.emplace_back(std::move(bytes), std::move(reply)); });
    Client client(io_, log_);
    std::vector<std::string> answers(kCalls);
    std::size_t done = 0;
    for (std::size_t i = 0; i < kCalls; ++i)
        client.call(addressOf(*server), std::to_string(i), kLong, [&, i](Answer answer) {
            ++done;
            answers[i] = answer ? answer.value() : answer.error().text();
        });
    ASSERT_TRUE(runUntil([&] { return pending.size() == kCalls; }));
    EXPECT_EQ(server->handled(), kCalls);
    EXPECT_EQ(client.outstanding(), kCalls);
    while (!pending.empty()) {
        pending.back().second.send("re:" + pending.back().first);
        pending.pop_back();
    }
    ASSERT_TRUE(runUntil([&] { return done == kCalls; }));
    for (std::size_t i = 0; i < kCalls; ++i) EXPECT_EQ(answers[i], "re:" + std::to_string(i));
    EXPECT_EQ(server->handled(), 0u);
}

TEST_F(RpcTest, RejectsRequestsBeyondLimitUntilOthersAreAnswered) {
    std::vector<Reply> pending;
    const auto server = serve([&](std::string, Reply reply) { pending.push_back(std::move(reply)); });
    Client first(io_, log_), second(io_, log_);
    std::size_t done = 0;
    for (std::size_t i = 0; i < kMaxHandledRequests; ++i)
        first.call(addressOf(*server), "pending", kLong, [&](Answer) { ++done; });
    ASSERT_TRUE(runUntil([&] { return pending.size() == kMaxHandledRequests; }));
    const Answer rejected = callAndWait(second, addressOf(*server), "one more");
    ASSERT_FALSE(rejected);
    EXPECT_EQ(rejected.error().kind, ErrorKind::unavailable);
    const std::size_t before = pending.size();
    for (Reply& reply : pending) reply.send("");
    ASSERT_TRUE(runUntil([&] { return done == before; }));
    pending.clear();
    std::optional<Answer> accepted;
    second.call(addressOf(*server), "again", kLong, [&](Answer answer) { accepted = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return !pending.empty(); }));
    pending.front().send("now");
    ASSERT_TRUE(runUntil([&] { return accepted.has_value(); }));
    EXPECT_EQ(accepted->value(), "now");
}

TEST_F(RpcTest, RejectsCallBeyondMaxOutstanding) {
    std::vector<Reply> pending;
    const auto server = serve([&](std::string, Reply reply) { pending.push_back(std::move(reply)); });
    Client client(io_, log_);
    for (std::size_t i = 0; i < kMaxOutstandingCalls; ++i)
        client.call(addressOf(*server), "pending", kLong, [](Answer) {});
    const Answer answer = callAndWait(client, addressOf(*server), "one more");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, ErrorKind::unavailable);
}

TEST_F(RpcTest, DroppedReplyTimesOutAndNextCallDialsAnew) {
    std::optional<Reply> late;
    bool drop = true;
    const auto server = serve([&](std::string bytes, Reply reply) {
        if (!std::exchange(drop, false)) return echo(std::move(bytes), std::move(reply));
        late = std::move(reply);
    });
    Client client(io_, log_);
    const Answer unanswered = callAndWait(client, addressOf(*server), "a", kShort);
    ASSERT_FALSE(unanswered);
    EXPECT_EQ(unanswered.error().kind, ErrorKind::timedOut);
    EXPECT_EQ(unanswered.error().location, addressOf(*server));
    late->send("too late");  // on a connection that is gone
    EXPECT_EQ(callAndWait(client, addressOf(*server), "b").value(), "re:b");
}

TEST_F(RpcTest, DestroyedReplyIsNoLongerHandled) {
    const auto server = serve([](std::string, Reply) {});
    Client client(io_, log_);
    EXPECT_FALSE(callAndWait(client, addressOf(*server), "a", kShort));
    EXPECT_EQ(server->handled(), 0u);
}

TEST_F(RpcTest, ReplyMayOutliveServer) {
    std::optional<Reply> pendingReply;
    auto server = serve([&](std::string, Reply reply) { pendingReply = std::move(reply); });
    Client client(io_, log_);
    std::optional<Answer> answer;
    client.call(addressOf(*server), "a", kLong, [&](Answer received) { answer = std::move(received); });
    ASSERT_TRUE(runUntil([&] { return pendingReply.has_value(); }));
    server.reset();
    pendingReply->send("nobody listens");
    pendingReply.reset();
    ASSERT_TRUE(
        runUntil([&] { return answer.has_value(); }));  // the end of the connection is reported at once
    ASSERT_FALSE(*answer);
    EXPECT_EQ(answer->error().kind, ErrorKind::unavailable);
}

TEST_F(RpcTest, ReachesRestartedPeer) {
    auto server = serve(echo);
    const std::uint16_t port = server->port();
    const std::string address = addressOf(*server);
    Client client(io_, log_);
    EXPECT_TRUE(callAndWait(client, address, "a"));
    server.reset();
    const Answer whileStopped = callAndWait(client, address, "b", kShort);
    ASSERT_FALSE(whileStopped);
    server = serve(echo, port);
    // The call may meet the end of the connection that was lost; it fails then, and the next one dials.
    bool answered = false;
    for (int attempt = 0; attempt < 3 && !answered; ++attempt)
        answered = callAndWait(client, address, "c").has_value();
    EXPECT_TRUE(answered);
}

TEST_F(RpcTest, WaitsForPeerThatIsNotListeningYet) {
    auto server = serve(echo);
    const std::uint16_t port = server->port();
    server.reset();
    Client client(io_, log_);
    std::optional<Answer> answer;
    client.call("127.0.0.1:" + std::to_string(port), "a", kLong,
                [&](Answer received) { answer = std::move(received); });
    io_.poll();
    server = serve(echo, port);
    ASSERT_TRUE(runUntil([&] { return answer.has_value(); }));
    EXPECT_EQ(answer->value(), "re:a");
}

// A peer that accepts connections and never answers, as one behind a network partition.
TEST_F(RpcTest, UnresponsivePeerTimesOutCallsAndEachTimeOutClosesConnection) {
    asio::ip::tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<asio::ip::tcp::socket> accepted;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error) return;
            accepted.push_back(std::move(socket));
            accept();
        });
    };
    accept();
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    Client client(io_, log_);
    for (std::size_t calls = 1; calls <= 3; ++calls) {
        const Answer answer = callAndWait(client, address, "a", kShort);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().kind, ErrorKind::timedOut);
        ASSERT_TRUE(runUntil([&] { return accepted.size() >= calls; }));
        EXPECT_EQ(accepted.size(), calls);
    }
    accepted.clear();
}

// Several calls that fail together close the connection once, and a call begun after them is not failed with them.
TEST_F(RpcTest, TimeOutsOfOldConnectionLeaveNewOneOpen) {
    std::vector<Reply> pending;
    const auto server = serve([&](std::string bytes, Reply reply) {
        if (bytes == "hold") return pending.push_back(std::move(reply));
        echo(std::move(bytes), std::move(reply));
    });
    Client client(io_, log_);
    std::size_t failed = 0;
    std::optional<Answer> later;
    for (int i = 0; i < 5; ++i)
        client.call(addressOf(*server), "hold", kShort, [&](Answer answer) {
            EXPECT_FALSE(answer);
            if (++failed == 1)
                client.call(addressOf(*server), "b", kLong,
                            [&](Answer received) { later = std::move(received); });
        });
    ASSERT_TRUE(runUntil([&] { return failed == 5 && later; }));
    ASSERT_TRUE(*later) << later->error().text();
    EXPECT_EQ(later->value(), "re:b");
}

TEST_F(RpcTest, DropsLeastRecentlyUsedPeerBeyondLimit) {
    std::vector<std::unique_ptr<Server>> servers;
    Client client(io_, log_);
    for (std::size_t i = 0; i <= kMaxPeers; ++i) {
        servers.push_back(serve(echo));
        EXPECT_TRUE(callAndWait(client, addressOf(*servers.back()), "a"));
    }
    EXPECT_EQ(client.peers(), kMaxPeers);
    EXPECT_EQ(callAndWait(client, addressOf(*servers.front()), "b").value(), "re:b");
    EXPECT_EQ(client.peers(), kMaxPeers);
}

TEST_F(RpcTest, FailsCallsToDroppedPeer) {
    std::vector<Reply> pending;
    const auto holder = serve([&](std::string, Reply reply) { pending.push_back(std::move(reply)); });
    const auto server = serve(echo);
    Client client(io_, log_);
    std::optional<Answer> dropped;
    client.call(addressOf(*holder), "a", kLong, [&](Answer answer) { dropped = std::move(answer); });
    // Addresses of this machine's loopback network at which the same server does not listen: they stay unanswered.
    for (std::size_t i = 0; i < kMaxPeers; ++i)
        client.call("127.0.1." + std::to_string(i + 1) + ":9", "b", kLong, [](Answer) {});
    ASSERT_TRUE(runUntil([&] { return dropped.has_value(); }));
    ASSERT_FALSE(*dropped);
    EXPECT_EQ(dropped->error().kind, ErrorKind::unavailable);
    EXPECT_EQ(client.peers(), kMaxPeers);
}

TEST_F(RpcTest, RejectsInvalidAddressAndTooLargeRequest) {
    Client client(io_, log_);
    for (const std::string address :
         {"", "nowhere", "127.0.0.1", "127.0.0.1:", "127.0.0.1:66000", "host:80", "1.2.3.4:5x"}) {
        const Answer answer = callAndWait(client, address, "a");
        ASSERT_FALSE(answer) << address;
        EXPECT_EQ(answer.error().kind, ErrorKind::invalid);
        Server server(io_, log_);
        EXPECT_FALSE(server.listen(address)) << address;
    }
    const Answer answer = callAndWait(client, "127.0.0.1:9", std::string(kMaxMessageBytes + 1, 'x'));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, ErrorKind::invalid);
    EXPECT_EQ(client.peers(), 0u);
}

TEST_F(RpcTest, CarriesLargestMessageBothWays) {
    const auto server = serve([](std::string bytes, Reply reply) { reply.send(std::move(bytes)); });
    Client client(io_, log_);
    const std::string largest(kMaxMessageBytes, 'x');
    EXPECT_EQ(callAndWait(client, addressOf(*server), largest).value(), largest);
}

TEST_F(RpcTest, ListenFailsWhenAddressIsInUse) {
    const auto server = serve(echo);
    Server other(io_, log_);
    const Result<void> listening = other.listen(addressOf(*server));
    ASSERT_FALSE(listening);
    EXPECT_EQ(listening.error().kind, ErrorKind::unavailable);
}

TEST_F(RpcTest, CallsNothingBackAfterDestructionWithOutstandingCalls) {
    std::vector<Reply> pending;
    auto server = serve([&](std::string, Reply reply) { pending.push_back(std::move(reply)); });
    auto client = std::make_unique<Client>(io_, log_);
    for (int i = 0; i < 20; ++i)
        client->call(addressOf(*server), "a", kLong, [](Answer) { ADD_FAILURE() << "called back"; });
    ASSERT_TRUE(runUntil([&] { return pending.size() == 20; }));
    for (Reply& reply : pending) reply.send("on its way");
    client.reset();
    server.reset();
    io_.restart();
    io_.poll();
}

TEST_F(RpcTest, CallbackMayDestroyClient) {
    const auto server = serve(echo);
    auto client = std::make_unique<Client>(io_, log_);
    bool called = false;
    client->call(addressOf(*server), "a", kLong, [&](Answer) {
        called = true;
        client.reset();
    });
    EXPECT_TRUE(runUntil([&] { return called; }));
    EXPECT_FALSE(client);
}

// Connections are closed by time-outs while answers arrive on them; each call ends once, and the peer is reached after.
// Time-outs start short and grow with each call, so that a machine of any speed comes to where some are met and some not.
TEST_F(RpcTest, EveryCallEndsOnceWhenConnectionsCloseUnderTraffic) {
    constexpr std::size_t kCalls = 2000, kAtOnce = 50;
    std::mt19937 random(20261202);
    std::vector<std::pair<std::string, Reply>> pending;
    bool randomReplies = true;
    const auto server = serve([&](std::string bytes, Reply reply) {
        if (!randomReplies) return echo(std::move(bytes), std::move(reply));
        pending.emplace_back(std::move(bytes), std::move(reply));
        if (random() % 4 != 0) return;
        for (auto& [request, waiting] : pending)
            if (random() % 50 != 0) waiting.send("re:" + request);  // the others are dropped
        pending.clear();
    });
    Client client(io_, log_);
    std::vector<int> ended;
    std::size_t done = 0, answered = 0, timedOut = 0;
    const auto enough = [&] { return done >= kCalls && answered > 0 && timedOut > 0; };
    std::function<void()> callNext = [&] {
        if (enough()) return;
        const std::size_t number = ended.size();
        ended.push_back(0);
        const std::string request(random() % 9000, static_cast<char>('a' + number % 26));
        const Millis timeout = 5.0 + random() % 10 + static_cast<double>(number) / 200;
        client.call(addressOf(*server), request, timeout, [&, number, request](Answer answer) {
            ++ended[number];
            ++done;
            answered += answer ? 1 : 0;
            timedOut += !answer && answer.error().kind == ErrorKind::timedOut ? 1 : 0;
            EXPECT_EQ(answer ? answer.value() : "re:" + request, "re:" + request);
            callNext();
        });
    };
    for (std::size_t i = 0; i < kAtOnce; ++i) callNext();
    ASSERT_TRUE(runUntil([&] { return enough() && client.outstanding() == 0; }))
        << answered << ' ' << timedOut;
    for (std::size_t number = 0; number < ended.size(); ++number) EXPECT_EQ(ended[number], 1) << number;
    pending.clear();
    EXPECT_EQ(server->handled(), 0u);
    randomReplies = false;
    const Answer after = callAndWait(client, addressOf(*server), "after");
    ASSERT_TRUE(after) << after.error().text();
    EXPECT_EQ(after.value(), "re:after");
}

class PlainSocketTest : public RpcTest {
protected:
    asio::ip::tcp::socket connectTo(const Server& server) {
        asio::ip::tcp::socket socket(io_);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    }
};

TEST_F(PlainSocketTest, ServerClosesConnectionThatSendsNoFrames) {
    const auto server = serve(echo);
    asio::ip::tcp::socket socket = connectTo(*server);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    char byte = 0;
    std::optional<asio::error_code> ended;
    socket.async_read_some(asio::buffer(&byte, 1),
                           [&](asio::error_code error, std::size_t) { ended = error; });
    ASSERT_TRUE(runUntil([&] { return ended.has_value(); }));
    EXPECT_TRUE(*ended);
}

TEST_F(PlainSocketTest, CallFailsWhenAnswerIsNoFrame) {
    asio::ip::tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket accepted(io_);
    acceptor.async_accept(accepted, [&](asio::error_code) {
        asio::write(accepted, asio::buffer(std::string("HTTP/1.1 400 Bad Request\r\n\r\n")));
    });
    Client client(io_, log_);
    const Answer answer =
        callAndWait(client, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "a");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, ErrorKind::unavailable);
}

TEST_F(PlainSocketTest, ClosesLongestIdleConnectionBeyondLimit) {
    const auto server = serve(echo);
    Client client(io_, log_);
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.push_back(connectTo(*server));
    char byte = 0;
    std::optional<asio::error_code> ended;
    sockets.front().async_read_some(asio::buffer(&byte, 1),
                                    [&](asio::error_code error, std::size_t) { ended = error; });
    ASSERT_TRUE(runUntil([&] { return server->connections() == 1; }));
    EXPECT_TRUE(callAndWait(client, addressOf(*server), "a"));
    while (server->connections() < kMaxConnections) {
        const std::size_t before = server->connections();
        sockets.push_back(connectTo(*server));
        ASSERT_TRUE(runUntil([&] { return server->connections() > before; }));
    }
    EXPECT_TRUE(callAndWait(client, addressOf(*server), "b"));
    EXPECT_FALSE(ended);
    sockets.push_back(connectTo(*server));
    ASSERT_TRUE(runUntil([&] { return ended.has_value(); }));
    EXPECT_EQ(server->connections(), kMaxConnections);
    EXPECT_TRUE(callAndWait(client, addressOf(*server), "c"));
}

TEST_F(RpcTest, RefusedConnectionsFailCallLongBeforeTimeOut) {
    auto server = serve(echo);
    const std::string address = addressOf(*server);
    server.reset();
    Client client(io_, log_);
    const Answer answer = callAndWait(client, address, "a", 10 * kLong);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().kind, ErrorKind::unavailable);
}

}  // namespace
}  // namespace beechpoint::rpc
