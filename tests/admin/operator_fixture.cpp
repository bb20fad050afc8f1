#include "operator_fixture.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace beechpoint::test {

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

std::string put(const std::string& target) {
    return "PUT " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

OperatorFixture::OperatorFixture(const std::function<void(Config&)>& change)
    : fixture({host.address()}, [&](Config& c) {
          c.settings.cells = c.settings.span = 1;
          c.operatorEndpoint = kAnyPort;
          if (change) change(c);
      }) {}

Answer OperatorFixture::call(const std::string& bytes) {
    TestClient caller(fixture.io, fixture.gatherer->operatorAddress());
    const Answer answer = caller.request(bytes);
    runUntil(fixture.io, [&] { return caller.connection->ended; });
    return answer;
}

double OperatorFixture::stat(const std::string& path) {
    const Answer answer = call(get("/ops/stats"));
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.has("application/json"));
    return nlohmann::json::parse(answer.body).at(nlohmann::json::json_pointer("/" + path)).get<double>();
}

int OperatorFixture::up() {
    TestClient client(fixture.io, fixture.gatherer->endpoint());
    return client.request(get("/up")).status;
}

StateFolder::StateFolder() {
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("can't make the folder " + path);
}

StateFolder::~StateFolder() { std::filesystem::remove_all(path); }

}  // namespace beechpoint::test
