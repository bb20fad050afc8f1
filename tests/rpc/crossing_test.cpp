// Answers that arrive where another one is expected: from another peer, twice, late, in halves, or under a number that is used again.
// One side of most tests is a plain socket, so that the test decides the order of events.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "rpc/client.hpp"
#include "rpc/client_state.hpp"
#include "rpc/frame.hpp"
#include "rpc/server.hpp"
#include "rpc_fixture.hpp"

namespace beechpoint::rpc {
namespace {

using asio::ip::tcp;
constexpr Millis kShort = 20;

std::string frameOf(FrameKind kind, std::uint32_t number, std::string_view body) {
    std::string bytes;
    appendFrame(kind, number, body, bytes);
    return bytes;
}

// A peer on a plain socket: records requests, and answers when the test says so.
class PlainPeer {
public:
    struct Request {
        std::size_t connection = 0;
        std::uint32_t number = 0;
        std::string body;
    };

    explicit PlainPeer(asio::io_context& io) : acceptor_(io) {
        acceptor_.open(tcp::v4());
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});  // connections are refused until listen()
    }
    void listen() {
        acceptor_.listen();
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    void write(std::size_t connection, const std::string& bytes) {
        asio::write(connections_.at(connection)->socket, asio::buffer(bytes));
    }
    void answer(const Request& request, std::string_view body) {
        write(request.connection, frameOf(FrameKind::answer, request.number, body));
    }
    void reset(std::size_t connection) {
        tcp::socket& socket = connections_.at(connection)->socket;
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
    std::size_t connections() const { return connections_.size(); }

    std::vector<Request> requests;

private:
    struct Accepted {
        explicit Accepted(tcp::socket socket_) : socket(std::move(socket_)) {}
        tcp::socket socket;
        FrameReader reader;
    };
    void accept() {
        acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) return;
            connections_.push_back(std::make_unique<Accepted>(std::move(socket)));
            read(connections_.size() - 1);
            accept();
        });
    }
    void read(std::size_t connection) {
        Accepted& from = *connections_[connection];
        const auto space = from.reader.freeSpace();
        from.socket.async_read_some(
            asio::buffer(space.data(), space.size()),
            [this, connection, &from](asio::error_code error, std::size_t size) {
                if (error) return;
                std::vector<Frame> frames = from.reader.received(size).value();
                for (Frame& frame : frames)
                    requests.push_back({connection, frame.number, std::move(frame.body)});
                read(connection);
            });
    }
    tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<Accepted>> connections_;
};

class RpcCrossing : public RpcFixture {
protected:
    bool runUntilAsked(const PlainPeer& peer, std::size_t requests) {
        return runUntil([&] { return peer.requests.size() >= requests; });
    }
};

TEST_F(RpcCrossing, IgnoresAnswerFromAnotherPeer) {
    PlainPeer right(io_), other(io_);
    right.listen();
    other.listen();
    Client client(io_, log_);
    Outcome first, second;
    call(client, right.address(), "first", kLong, first);
    call(client, other.address(), "second", kLong, second);
    ASSERT_TRUE(runUntilAsked(right, 1) && runUntilAsked(other, 1));
    ASSERT_NE(right.requests[0].number, other.requests[0].number);
    other.answer({0, right.requests[0].number, ""}, "forged");
    other.answer(other.requests[0], "second's");
    ASSERT_TRUE(runUntilEnded(second));  // by the frame behind the forged one: that has been handled
    EXPECT_EQ(second.body(), "second's");
    EXPECT_FALSE(first.answer) << first.body();
    right.answer(right.requests[0], "first's");
    ASSERT_TRUE(runUntilEnded(first));
    EXPECT_EQ(first.body(), "first's");
}

TEST_F(RpcCrossing, IgnoresSecondAnswerToCall) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome first, second;
    call(client, peer.address(), "first", kLong, first);
    ASSERT_TRUE(runUntilAsked(peer, 1));
    peer.answer(peer.requests[0], "first's");
    peer.answer(peer.requests[0], "once more");
    ASSERT_TRUE(runUntilEnded(first));
    call(client, peer.address(), "second", kLong, second);
    ASSERT_TRUE(runUntilAsked(peer, 2));
    peer.answer(peer.requests[0], "and again");
    peer.answer(peer.requests[1], "second's");
    ASSERT_TRUE(runUntilEnded(second));
    EXPECT_EQ(first.body(), "first's");
    EXPECT_EQ(second.body(), "second's");
    EXPECT_EQ(peer.connections(), 1u);
}

// The call waited through a time-out of an earlier one, so its own time-out leaves the connection that it was sent on.
TEST_F(RpcCrossing, IgnoresLateAnswerOnSameConnection) {
    constexpr Millis kUntilLate = 1500;
    PlainPeer peer(io_);
    Client client(io_, log_);
    Outcome early, late, next;
    call(client, peer.address(), "late", kUntilLate, late);
    call(client, peer.address(), "early", kShort, early);
    ASSERT_TRUE(runUntilEnded(early));
    peer.listen();
    ASSERT_TRUE(runUntilAsked(peer, 1));
    ASSERT_EQ(peer.requests[0].body, "late");
    ASSERT_TRUE(runUntilEnded(late));
    ASSERT_TRUE(late.timedOut());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(runUntilAsked(peer, 2));
    ASSERT_EQ(peer.connections(), 1u);  // else nothing was late on it
    peer.answer(peer.requests[0], "late's");
    peer.answer(peer.requests[1], "next's");
    ASSERT_TRUE(runUntilEnded(next));
    EXPECT_EQ(next.body(), "next's");
    EXPECT_TRUE(late.timedOut());
}

TEST_F(RpcCrossing, IgnoresRestOfTruncatedAnswerOnNextConnection) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome truncated, next, after;
    call(client, peer.address(), "truncated", kLong, truncated);
    ASSERT_TRUE(runUntilAsked(peer, 1));
    const std::string frame = frameOf(FrameKind::answer, peer.requests[0].number, "a long enough answer");
    const std::size_t half = frame.size() / 2;
    peer.write(0, frame.substr(0, half));
    peer.reset(0);
    ASSERT_TRUE(runUntilEnded(truncated));
    EXPECT_TRUE(truncated.unavailable());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(runUntilAsked(peer, 2));
    ASSERT_EQ(peer.requests[1].connection, 1u);
    peer.write(1, frame.substr(half) + frameOf(FrameKind::answer, peer.requests[1].number, "behind it"));
    ASSERT_TRUE(runUntilEnded(next));
    EXPECT_TRUE(next.unavailable());  // bytes that are no frames: nothing after them is accepted
    call(client, peer.address(), "after", kLong, after);
    ASSERT_TRUE(runUntilAsked(peer, 3));
    peer.answer(peer.requests[2], "after's");
    ASSERT_TRUE(runUntilEnded(after));
    EXPECT_EQ(after.body(), "after's");
}

// Nothing is sent again by the client itself: the peer sees each request once, whatever becomes of the connection.
TEST_F(RpcCrossing, DoesNotResendCallOfResetConnection) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome lost, next;
    call(client, peer.address(), "lost", kLong, lost);
    ASSERT_TRUE(runUntilAsked(peer, 1));
    peer.reset(0);
    ASSERT_TRUE(runUntilEnded(lost));
    EXPECT_TRUE(lost.unavailable());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(runUntilAsked(peer, 2));
    peer.answer(peer.requests[1], "next's");
    ASSERT_TRUE(runUntilEnded(next));
    ASSERT_EQ(peer.requests.size(), 2u);
    EXPECT_EQ(peer.requests[1].body, "next");
}

TEST_F(RpcCrossing, ReusedNumbersBeginOnNewConnections) {
    constexpr std::uint32_t kLast = std::numeric_limits<std::uint32_t>::max();
    PlainPeer peer(io_);
    peer.listen();
    const auto client = std::make_shared<ClientState>(io_, log_, kLast - 2);
    Outcome answered, open, next;
    call(*client, peer.address(), "answered", kLong, answered);
    call(*client, peer.address(), "open", kLong, open);
    ASSERT_TRUE(runUntilAsked(peer, 2));
    peer.answer(peer.requests[0], "answered's");
    ASSERT_TRUE(runUntilEnded(answered));
    ASSERT_EQ(peer.requests[1].number, kLast);
    call(*client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(runUntilAsked(peer, 3));
    EXPECT_EQ(peer.requests[2].number, 0u);
    EXPECT_EQ(peer.requests[2].connection, 1u);  // no answer to an earlier 0 can come on it
    peer.answer(peer.requests[2], "next's");
    ASSERT_TRUE(runUntilEnded(next));
    EXPECT_EQ(next.body(), "next's");
    EXPECT_TRUE(open.unavailable());
    client->close();
}

TEST_F(RpcCrossing, UnsentCallKeepsNumberWhenNumbersBeginAnew) {
    constexpr std::uint32_t kLast = std::numeric_limits<std::uint32_t>::max();
    PlainPeer lateListener(io_), peer(io_);
    peer.listen();
    const auto client = std::make_shared<ClientState>(io_, log_, kLast - 1);
    Outcome waits, next;
    call(*client, lateListener.address(), "waits", kLong, waits);  // refused so far, to be dialled again
    call(*client, peer.address(), "next", kLong, next);
    lateListener.listen();
    ASSERT_TRUE(runUntilAsked(peer, 1) && runUntilAsked(lateListener, 1));
    EXPECT_EQ(lateListener.requests[0].number, kLast);
    EXPECT_EQ(peer.requests[0].number, 0u);
    lateListener.answer(lateListener.requests[0], "waits'");
    peer.answer(peer.requests[0], "next's");
    ASSERT_TRUE(runUntilEnded(waits) && runUntilEnded(next));
    EXPECT_EQ(waits.body(), "waits'");
    EXPECT_EQ(next.body(), "next's");
    client->close();
}

class ServerCrossing : public RpcCrossing {
protected:
    ServerCrossing() : server_(io_, log_) {
        server_.onRequest([this](std::string bytes, Reply reply) {
            accepted_.push_back(std::move(bytes));
            replies_.push_back(std::move(reply));
        });
        EXPECT_TRUE(server_.listen("127.0.0.1:0"));
    }
    std::string address() const { return addressOf(server_); }
    bool runUntilAccepted(std::size_t requests) {
        return runUntil([&] { return accepted_.size() >= requests; });
    }
    tcp::socket connect() {
        tcp::socket socket(io_);
        socket.connect({asio::ip::address_v4::loopback(), server_.port()});
        return socket;
    }

    Server server_;
    std::vector<std::string> accepted_;
    std::deque<Reply> replies_;
};

// Both callers count from 1, so the late answer bears the number of the other's call.
TEST_F(ServerCrossing, DropsAnswerForReplacedConnection) {
    auto first = std::make_unique<Client>(io_, log_);
    first->call(address(), "first", kLong, [](Answer) { ADD_FAILURE() << "called back"; });
    ASSERT_TRUE(runUntilAccepted(1));
    first.reset();
    ASSERT_TRUE(runUntil([&] { return server_.connections() == 0; }));
    Client second(io_, log_);
    Outcome outcome;
    call(second, address(), "second", kLong, outcome);
    ASSERT_TRUE(runUntilAccepted(2));
    replies_[0].send("first's");
    replies_[1].send("second's");
    ASSERT_TRUE(runUntilEnded(outcome));
    EXPECT_EQ(outcome.body(), "second's");
    EXPECT_EQ(server_.handled(), 0u);
}

TEST_F(ServerCrossing, AnswersRequestOnce) {
    Client client(io_, log_);
    Outcome first, second;
    call(client, address(), "first", kLong, first);
    ASSERT_TRUE(runUntilAccepted(1));
    replies_[0].send("first's");
    EXPECT_FALSE(replies_[0]);
    replies_[0].send("once more");
    Reply moved = std::move(replies_[0]);
    moved.send("from where it was moved to");
    ASSERT_EQ(server_.handled(), 0u);
    call(client, address(), "second", kLong, second);
    ASSERT_TRUE(runUntilAccepted(2));
    EXPECT_EQ(server_.handled(), 1u);
    replies_[1].send("second's");
    ASSERT_TRUE(runUntilEnded(first) && runUntilEnded(second));
    EXPECT_EQ(first.body(), "first's");
    EXPECT_EQ(second.body(), "second's");
}

TEST_F(ServerCrossing, IgnoresRequestTruncatedAtAnyByte) {
    const std::string frame = frameOf(FrameKind::request, 1, "truncated");
    for (std::size_t size = 1; size < frame.size(); ++size) {
        tcp::socket socket = connect();
        asio::write(socket, asio::buffer(frame.substr(0, size)));
        ASSERT_TRUE(runUntil([&] { return server_.connections() == 1; }));
        if (size % 2 == 0) socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        ASSERT_TRUE(runUntil([&] { return server_.connections() == 0; }));
    }
    EXPECT_TRUE(accepted_.empty());
    tcp::socket socket = connect();
    asio::write(socket, asio::buffer(frameOf(FrameKind::request, 1, "complete")));
    ASSERT_TRUE(runUntilAccepted(1));
    EXPECT_EQ(accepted_, std::vector<std::string>{"complete"});
}

}  // namespace
}  // namespace beechpoint::rpc
