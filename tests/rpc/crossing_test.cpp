// Answers that come where another one is due: from another peer, twice, late, in halves, or under a number that is used again.
// One side of each test is a plain socket, so that the order of events is the test's.
#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rpc/client.hpp"
#include "rpc/client_state.hpp"
#include "rpc/frame.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {
namespace {

using asio::ip::tcp;
using Answer = Result<std::string>;

constexpr Millis kLong = 10'000;  // never reached in a passing test
constexpr Millis kShort = 20;

std::string frameOf(FrameKind kind, std::uint32_t number, std::string_view body) {
    std::string bytes;
    appendFrame(kind, number, body, bytes);
    return bytes;
}

// A peer of one's own making: notes requests, and answers when the test says so.
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
        const auto room = from.reader.room();
        from.socket.async_read_some(
            asio::buffer(room.data(), room.size()),
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

class RpcCrossing : public ::testing::Test {
protected:
    template <class Done>
    bool runUntil(Done done) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done()) {
            if (std::chrono::steady_clock::now() > until) return false;
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }
    // A call whose end is noted; the test fails where it ends twice.
    struct Outcome {
        std::optional<Answer> answer;
        bool timedOut() const { return answer && !*answer && answer->error().kind == ErrorKind::timedOut; }
        bool unavailable() const {
            return answer && !*answer && answer->error().kind == ErrorKind::unavailable;
        }
        std::string body() const { return answer && *answer ? answer->value() : "no answer"; }
    };
    template <class Caller>
    void call(Caller& caller, const std::string& address, const std::string& body, Millis timeout,
              Outcome& outcome) {
        caller.call(address, body, timeout, [&outcome](Answer answer) {
            EXPECT_FALSE(outcome.answer) << "called back twice";
            outcome.answer = std::move(answer);
        });
    }
    bool ended(const Outcome& outcome) {
        return runUntil([&] { return outcome.answer.has_value(); });
    }
    bool asked(const PlainPeer& peer, std::size_t requests) {
        return runUntil([&] { return peer.requests.size() >= requests; });
    }

    asio::io_context io_;
    Clock clock_;
    Logger log_{clock_, logging::Format::text, -1};
};

TEST_F(RpcCrossing, AnAnswerFromAnotherPeerIsNone) {
    PlainPeer right(io_), other(io_);
    right.listen();
    other.listen();
    Client client(io_, log_);
    Outcome first, second;
    call(client, right.address(), "first", kLong, first);
    call(client, other.address(), "second", kLong, second);
    ASSERT_TRUE(asked(right, 1) && asked(other, 1));
    ASSERT_NE(right.requests[0].number, other.requests[0].number);
    other.answer({0, right.requests[0].number, ""}, "forged");
    other.answer(other.requests[0], "second's");
    ASSERT_TRUE(ended(second));  // by the frame behind the forged one: that has been handled
    EXPECT_EQ(second.body(), "second's");
    EXPECT_FALSE(first.answer) << first.body();
    right.answer(right.requests[0], "first's");
    ASSERT_TRUE(ended(first));
    EXPECT_EQ(first.body(), "first's");
}

TEST_F(RpcCrossing, ASecondAnswerToACallBelongsToNoOther) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome first, second;
    call(client, peer.address(), "first", kLong, first);
    ASSERT_TRUE(asked(peer, 1));
    peer.answer(peer.requests[0], "first's");
    peer.answer(peer.requests[0], "once more");
    ASSERT_TRUE(ended(first));
    call(client, peer.address(), "second", kLong, second);
    ASSERT_TRUE(asked(peer, 2));
    peer.answer(peer.requests[0], "and again");
    peer.answer(peer.requests[1], "second's");
    ASSERT_TRUE(ended(second));
    EXPECT_EQ(first.body(), "first's");
    EXPECT_EQ(second.body(), "second's");
    EXPECT_EQ(peer.connections(), 1u);
}

// The call waited through a time-out of an earlier one, so its own time-out leaves the connection that it was sent on.
TEST_F(RpcCrossing, ALateAnswerMeetsTheNextCallOnTheSameConnection) {
    constexpr Millis kUntilLate = 1500;
    PlainPeer peer(io_);
    Client client(io_, log_);
    Outcome early, late, next;
    call(client, peer.address(), "late", kUntilLate, late);
    call(client, peer.address(), "early", kShort, early);
    ASSERT_TRUE(ended(early));
    peer.listen();
    ASSERT_TRUE(asked(peer, 1));
    ASSERT_EQ(peer.requests[0].body, "late");
    ASSERT_TRUE(ended(late));
    ASSERT_TRUE(late.timedOut());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(asked(peer, 2));
    ASSERT_EQ(peer.connections(), 1u);  // else nothing was late on it
    peer.answer(peer.requests[0], "late's");
    peer.answer(peer.requests[1], "next's");
    ASSERT_TRUE(ended(next));
    EXPECT_EQ(next.body(), "next's");
    EXPECT_TRUE(late.timedOut());
}

TEST_F(RpcCrossing, TheRestOfAnAnswerThatWasCutIsNotTheNextOne) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome cut, next, after;
    call(client, peer.address(), "cut", kLong, cut);
    ASSERT_TRUE(asked(peer, 1));
    const std::string whole = frameOf(FrameKind::answer, peer.requests[0].number, "a long enough answer");
    const std::size_t half = whole.size() / 2;
    peer.write(0, whole.substr(0, half));
    peer.reset(0);
    ASSERT_TRUE(ended(cut));
    EXPECT_TRUE(cut.unavailable());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(asked(peer, 2));
    ASSERT_EQ(peer.requests[1].connection, 1u);
    peer.write(1, whole.substr(half) + frameOf(FrameKind::answer, peer.requests[1].number, "behind it"));
    ASSERT_TRUE(ended(next));
    EXPECT_TRUE(next.unavailable());  // bytes that are no frames: nothing behind them is believed
    call(client, peer.address(), "after", kLong, after);
    ASSERT_TRUE(asked(peer, 3));
    peer.answer(peer.requests[2], "after's");
    ASSERT_TRUE(ended(after));
    EXPECT_EQ(after.body(), "after's");
}

// Nothing is sent again by the client itself: the peer sees each request once, whatever becomes of the connection.
TEST_F(RpcCrossing, ACallWhoseConnectionIsResetIsNotSentAgain) {
    PlainPeer peer(io_);
    peer.listen();
    Client client(io_, log_);
    Outcome lost, next;
    call(client, peer.address(), "lost", kLong, lost);
    ASSERT_TRUE(asked(peer, 1));
    peer.reset(0);
    ASSERT_TRUE(ended(lost));
    EXPECT_TRUE(lost.unavailable());
    call(client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(asked(peer, 2));
    peer.answer(peer.requests[1], "next's");
    ASSERT_TRUE(ended(next));
    ASSERT_EQ(peer.requests.size(), 2u);
    EXPECT_EQ(peer.requests[1].body, "next");
}

TEST_F(RpcCrossing, NumbersThatBeginAnewBeginOnNewConnections) {
    constexpr std::uint32_t kLast = std::numeric_limits<std::uint32_t>::max();
    PlainPeer peer(io_);
    peer.listen();
    const auto client = std::make_shared<ClientState>(io_, log_, kLast - 2);
    Outcome answered, open, next;
    call(*client, peer.address(), "answered", kLong, answered);
    call(*client, peer.address(), "open", kLong, open);
    ASSERT_TRUE(asked(peer, 2));
    peer.answer(peer.requests[0], "answered's");
    ASSERT_TRUE(ended(answered));
    ASSERT_EQ(peer.requests[1].number, kLast);
    call(*client, peer.address(), "next", kLong, next);
    ASSERT_TRUE(asked(peer, 3));
    EXPECT_EQ(peer.requests[2].number, 0u);
    EXPECT_EQ(peer.requests[2].connection, 1u);  // no answer to an earlier 0 can come on it
    peer.answer(peer.requests[2], "next's");
    ASSERT_TRUE(ended(next));
    EXPECT_EQ(next.body(), "next's");
    EXPECT_TRUE(open.unavailable());
    client->close();
}

TEST_F(RpcCrossing, ACallThatStillWaitsKeepsItsNumberWhenNumbersBeginAnew) {
    constexpr std::uint32_t kLast = std::numeric_limits<std::uint32_t>::max();
    PlainPeer silent(io_), peer(io_);
    peer.listen();
    const auto client = std::make_shared<ClientState>(io_, log_, kLast - 1);
    Outcome waits, next;
    call(*client, silent.address(), "waits", kLong, waits);  // refused so far, to be dialled again
    call(*client, peer.address(), "next", kLong, next);
    silent.listen();
    ASSERT_TRUE(asked(peer, 1) && asked(silent, 1));
    EXPECT_EQ(silent.requests[0].number, kLast);
    EXPECT_EQ(peer.requests[0].number, 0u);
    silent.answer(silent.requests[0], "waits'");
    peer.answer(peer.requests[0], "next's");
    ASSERT_TRUE(ended(waits) && ended(next));
    EXPECT_EQ(waits.body(), "waits'");
    EXPECT_EQ(next.body(), "next's");
    client->close();
}

class ServerCrossing : public RpcCrossing {
protected:
    ServerCrossing() : server_(io_, log_) {
        server_.onRequest([this](std::string bytes, Reply reply) {
            taken_.push_back(std::move(bytes));
            replies_.push_back(std::move(reply));
        });
        EXPECT_TRUE(server_.listen("127.0.0.1:0"));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    bool took(std::size_t requests) {
        return runUntil([&] { return taken_.size() >= requests; });
    }
    tcp::socket connect() {
        tcp::socket socket(io_);
        socket.connect({asio::ip::address_v4::loopback(), server_.port()});
        return socket;
    }

    Server server_;
    std::vector<std::string> taken_;
    std::deque<Reply> replies_;
};

// Both callers count from 1, so the late answer bears the number of the other's call.
TEST_F(ServerCrossing, AnAnswerForAConnectionThatWasReplacedReachesNobody) {
    auto first = std::make_unique<Client>(io_, log_);
    first->call(address(), "first", kLong, [](Answer) { ADD_FAILURE() << "called back"; });
    ASSERT_TRUE(took(1));
    first.reset();
    ASSERT_TRUE(runUntil([&] { return server_.connections() == 0; }));
    Client second(io_, log_);
    Outcome outcome;
    call(second, address(), "second", kLong, outcome);
    ASSERT_TRUE(took(2));
    replies_[0].send("first's");
    replies_[1].send("second's");
    ASSERT_TRUE(ended(outcome));
    EXPECT_EQ(outcome.body(), "second's");
    EXPECT_EQ(server_.handled(), 0u);
}

TEST_F(ServerCrossing, ARequestIsAnsweredOnce) {
    Client client(io_, log_);
    Outcome first, second;
    call(client, address(), "first", kLong, first);
    ASSERT_TRUE(took(1));
    replies_[0].send("first's");
    EXPECT_FALSE(replies_[0]);
    replies_[0].send("once more");
    Reply moved = std::move(replies_[0]);
    moved.send("from where it was moved to");
    ASSERT_EQ(server_.handled(), 0u);
    call(client, address(), "second", kLong, second);
    ASSERT_TRUE(took(2));
    EXPECT_EQ(server_.handled(), 1u);
    replies_[1].send("second's");
    ASSERT_TRUE(ended(first) && ended(second));
    EXPECT_EQ(first.body(), "first's");
    EXPECT_EQ(second.body(), "second's");
}

TEST_F(ServerCrossing, ARequestThatIsCutAtAnyByteIsNotTaken) {
    const std::string whole = frameOf(FrameKind::request, 1, "cut");
    for (std::size_t size = 1; size < whole.size(); ++size) {
        tcp::socket socket = connect();
        asio::write(socket, asio::buffer(whole.substr(0, size)));
        ASSERT_TRUE(runUntil([&] { return server_.connections() == 1; }));
        if (size % 2 == 0) socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
        ASSERT_TRUE(runUntil([&] { return server_.connections() == 0; }));
    }
    EXPECT_TRUE(taken_.empty());
    tcp::socket socket = connect();
    asio::write(socket, asio::buffer(frameOf(FrameKind::request, 1, "whole")));
    ASSERT_TRUE(took(1));
    EXPECT_EQ(taken_, std::vector<std::string>{"whole"});
}

}  // namespace
}  // namespace beechpoint::rpc
