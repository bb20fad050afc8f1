#include "test_client.hpp"

namespace beechpoint::test {

TestClient::TestClient(asio::io_context& io, const tcp::endpoint& to) : io_(io) {
    tcp::socket socket(io);
    socket.connect(to);
    connection = std::make_shared<LoopbackConnection>(std::move(socket));
    reader_ = std::make_unique<net::HttpReader>(net::HttpReader::Kind::response, connection->in,
                                                net::HttpReader::OnBody{}, 1 << 20);
    connection->read([this] { onData(); });
}

Answer TestClient::request(const std::string& bytes) {
    const std::size_t before = answers.size();
    send(bytes);
    runUntil(io_, [&] { return answers.size() > before; });
    return answers.back();
}

void TestClient::onData() {
    while (reader_->parse() == net::HttpReader::State::complete) {
        const net::HttpMessage message = reader_->message();
        Answer answer{message.status, {}, std::string(message.body), message.keepAlive};
        for (const auto& [name, value] : message.headers)
            answer.head.append(name).append(": ").append(value).append("\n");
        reader_->next();
        answers.push_back(answer);
        onAnswer(answer);
    }
}

std::string post(const std::string& target, const std::string& headers, const std::string& body) {
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string query(const std::string& id, const std::vector<int>& shards, int expiresInMs,
                  const std::string& text, const std::string& className) {
    const std::string share = std::to_string(1.0 / static_cast<double>(shards.size()));
    std::string targets;
    for (const int shard : shards) {
        if (!targets.empty()) targets += ",";
        targets += "{\"partition\":" + std::to_string(shard) + ",\"share\":" + share + "}";
    }
    const std::string headers = "X-Trace-Id: " + id + "\r\nX-Qos: " + className +
                                "\r\nX-Expires-In-Ms: " + std::to_string(expiresInMs) + "\r\n";
    return post("/" + className + "/k1", headers,
                "{\"targets\":[" + targets + "],\"query\":\"" + text + "\"}");
}

}  // namespace beechpoint::test
