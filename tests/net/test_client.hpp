/// A client of the gatherer over HTTP, and the requests that tests send.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loopback_fixture.hpp"
#include "net/http.hpp"

namespace beechpoint::test {

/// An answer as the client read it; `head` holds one "name: value" a line.
struct Answer {
    int status = 0;
    std::string head, body;
    bool keepAlive = false;
    bool has(const std::string& text) const { return (head + body).find(text) != std::string::npos; }
};

/// One connection of a client; requests may be pipelined, answers come in their order.
class TestClient {
public:
    TestClient(asio::io_context& io, const tcp::endpoint& to);
    ~TestClient() { connection->close(); }
    TestClient(const TestClient&) = delete;
    TestClient& operator=(const TestClient&) = delete;
    void send(const std::string& bytes) { connection->send(bytes); }
    /// Sends a request and runs the event loop until an answer came.
    Answer request(const std::string& bytes);
    LoopbackConnectionPtr connection;
    std::vector<Answer> answers;
    std::function<void(const Answer&)> onAnswer = [](const Answer&) {};

private:
    void onData();
    asio::io_context& io_;
    std::unique_ptr<net::HttpReader> reader_;
};

/// A POST with `headers` (each ended by CRLF) and its content's length.
std::string post(const std::string& target, const std::string& headers, const std::string& body);

/// A query of a class over the given shards, each with an equal share, that expires after `expiresInMs`.
std::string query(const std::string& id, const std::vector<int>& shards, int expiresInMs = 3000,
                  const std::string& text = "q", const std::string& className = "pallet-lookup");

}  // namespace beechpoint::test
