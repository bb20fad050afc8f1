// A loop, a log, and helpers for servers and calls on loopback.
#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "rpc/client.hpp"
#include "rpc/server.hpp"

namespace beechpoint::rpc {

using Answer = Result<std::string>;

inline constexpr Millis kLong = 10'000;  // time-out that is never reached in a passing test

class RpcFixture : public ::testing::Test {
protected:
    // Runs the loop until the condition holds, for at most ten seconds.
    template <class Condition>
    bool runUntil(Condition condition) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) return false;
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    std::unique_ptr<Server> serve(Server::Handler handler, std::uint16_t port = 0) {
        auto server = std::make_unique<Server>(io_, log_);
        server->onRequest(std::move(handler));
        const Result<void> listening = server->listen("127.0.0.1:" + std::to_string(port));
        EXPECT_TRUE(listening) << listening.error().text();
        return server;
    }

    static std::string addressOf(const Server& server) {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    // How a call ended. The test fails where it ends twice, on another thread, or before call() returns.
    struct Outcome {
        std::optional<Answer> answer;
        bool failedWith(ErrorKind kind) const { return answer && !*answer && answer->error().kind == kind; }
        bool timedOut() const { return failedWith(ErrorKind::timedOut); }
        bool unavailable() const { return failedWith(ErrorKind::unavailable); }
        std::string body() const { return answer && *answer ? answer->value() : "no answer"; }
    };
    template <class Caller>
    void call(Caller& caller, const std::string& address, std::string body, Millis timeout,
              Outcome& outcome) {
        caller.call(address, std::move(body), timeout, [&outcome, this](Answer answer) {
            EXPECT_FALSE(outcome.answer) << "called back twice";
            EXPECT_EQ(std::this_thread::get_id(), loopThread_);
            outcome.answer = std::move(answer);
        });
        EXPECT_FALSE(outcome.answer) << "called back before call() returned";
    }
    bool runUntilEnded(const Outcome& outcome) {
        return runUntil([&] { return outcome.answer.has_value(); });
    }
    Answer callAndWait(Client& client, const std::string& address, std::string body, Millis timeout = kLong) {
        Outcome outcome;
        call(client, address, std::move(body), timeout, outcome);
        EXPECT_TRUE(runUntilEnded(outcome));
        return outcome.answer ? *outcome.answer : Answer(Error{ErrorKind::notFound, "", "no callback", ""});
    }

    static void echo(std::string bytes, Reply reply) { reply.send("re:" + bytes); }

    const std::thread::id loopThread_ = std::this_thread::get_id();
    asio::io_context io_;
    Clock clock_;
    Logger log_{clock_, logging::Format::text, -1};
};

}  // namespace beechpoint::rpc
