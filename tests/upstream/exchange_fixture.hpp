// Exchanges of a real Upstream with a scripted host on loopback.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "loopback.hpp"
#include "upstream/upstream.hpp"

namespace beechpoint::upstream {

using test::Peer;
using test::runReadyHandlers;
using test::ScriptedHost;
using test::until;

struct Outcome {
    std::optional<AnswerHead> head;
    std::string body;
    std::size_t chunks = 0;
    bool ended = false;
    std::optional<Failure> failure;
    bool over() const { return ended || failure.has_value(); }
};

constexpr std::size_t kConnections = 4;
constexpr Millis kLong = 15'000;

class Exchanges : public ::testing::Test {
protected:
    ~Exchanges() override {
        upstream.reset();
        runReadyHandlers(io);
    }
    static HostAddress addressOf(const asio::ip::tcp::endpoint& at) {
        return {at.address().to_string(), at.port()};
    }
    HostAddress address() const { return addressOf(host.endpoint()); }

    static Request request(const std::string& id, const std::string& method = "GET") {
        return {method, "/path?x=1", {{"Host", "h"}}, nullptr, id};
    }
    Handle begin(Outcome& outcome, Request request, Millis timeout = kLong,
                 std::optional<HostAddress> to = {}) {
        Handlers handlers;
        handlers.onHead = [&outcome](const AnswerHead& head) {
            EXPECT_FALSE(outcome.head);
            outcome.head = head;
        };
        handlers.onData = [&outcome](std::string_view bytes) {
            EXPECT_FALSE(outcome.over());
            outcome.body += bytes;
            ++outcome.chunks;
        };
        handlers.onEnd = [&outcome] {
            EXPECT_FALSE(outcome.over());
            outcome.ended = true;
        };
        handlers.onFailed = [&outcome](const Failure& failure) {
            EXPECT_FALSE(outcome.over());
            outcome.failure = failure;
        };
        return upstream->send(to ? *to : address(), kConnections, std::move(request), timeout,
                              std::move(handlers));
    }
    Outcome exchange(Request request, Millis timeout = kLong, std::optional<HostAddress> to = {}) {
        Outcome outcome;
        begin(outcome, std::move(request), timeout, to);
        EXPECT_FALSE(outcome.over());
        EXPECT_TRUE(until(io, [&] { return outcome.over(); }));
        return outcome;
    }
    // Answers each request with these bytes.
    void script(const std::string& bytes, bool close = false) {
        host.onRequest = [=](Peer& peer) {
            peer.got.clear();
            if (!bytes.empty()) asio::write(peer.socket, asio::buffer(bytes));
            if (close) peer.close();
        };
    }
    FailureKind kindOf(const std::string& answer, bool close, bool sent = true) {
        script(answer, close);
        const Outcome outcome = exchange(request("a1"));
        EXPECT_TRUE(outcome.failure) << answer;
        if (!outcome.failure) return FailureKind::cancelled;
        EXPECT_EQ(outcome.failure->sent, sent) << answer;
        EXPECT_EQ(outcome.failure->headSeen, outcome.head.has_value()) << answer;
        EXPECT_TRUE(until(io, [&] { return upstream->connections() == 0; }));
        return outcome.failure->kind;
    }

    asio::io_context io;
    Clock clock;
    std::unique_ptr<Upstream> upstream = std::make_unique<Upstream>(io, clock);
    ScriptedHost host{io};
};

inline std::string answer(const std::string& id, const std::string& lines, const std::string& body = "") {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=5\r\n" + lines + "\r\n" + body;
}
inline std::string counted(const std::string& id, const std::string& body) {
    return answer(id, fmt::format("Content-Length: {}\r\n", body.size()), body);
}

}  // namespace beechpoint::upstream
