#include "disconnecting_clients.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace beechpoint::test {

void disconnect(GathererFixture& fixture, TestClient& client, Disconnect how) {
    if (how == Disconnect::reset) {
        asio::error_code ignored;
        client.connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (how == Disconnect::closeBehindBytes) client.send(std::string(20'000, 'x'));
    if (how == Disconnect::closeWhilePaused) {  // far more than is kept while a request is in hand
        for (int i = 0; i < 16; ++i) {
            client.send(std::string(20'000, 'x'));
            runReady(fixture.io);
        }
    }
    client.connection->close();
}

tcp::endpoint endpointOf(const GathererFixture& fixture, Frontend frontend) {
    return frontend == Frontend::search ? fixture.gatherer->searchEndpoint() : fixture.gatherer->endpoint();
}

std::string markedQuery(Frontend frontend, const std::string& mark) {
    if (frontend == Frontend::search)
        return post("/pallets/_search?preference=_shards:0", "Content-Type: application/json\r\n",
                    R"({"query":{"term":{"n":")" + mark + R"("}}})");
    return query(mark.size() < 40 ? mark : "long", {0}, 10'000'000, mark);
}

DisconnectingClients::DisconnectingClients(GathererFixture& fixture)
    : DisconnectingClients(fixture, Unsent{}) {
    sendAll();
    runUntil(fixture_.io, [&] { return fixture_.gatherer->exchange().live() == otherQueries + all.size(); });
}

DisconnectingClients::DisconnectingClients(GathererFixture& fixture, Unsent)
    : otherQueries(fixture.gatherer->exchange().live()), fixture_(fixture) {
    for (const Frontend frontend : kFrontends)
        for (const Disconnect how : kDisconnects) add(frontend, how);
}

DisconnectingClients::DisconnectingClients(GathererFixture& fixture, Frontend frontend, Disconnect how)
    : otherQueries(fixture.gatherer->exchange().live()), fixture_(fixture) {
    add(frontend, how);
}

void DisconnectingClients::add(Frontend frontend, Disconnect how) {
    auto connection = std::make_unique<TestClient>(fixture_.io, endpointOf(fixture_, frontend));
    all.push_back({std::move(connection), frontend, how, "leaver" + std::to_string(all.size()) + "x"});
}

void DisconnectingClients::sendAll() {
    for (OneClient& client : all) client.connection->send(markedQuery(client.frontend, client.mark));
}

void DisconnectingClients::disconnectAll() {
    for (OneClient& client : all) disconnect(fixture_, *client.connection, client.how);
}

void DisconnectingClients::expectNoticed(Counter counter) {
    const auto began = std::chrono::steady_clock::now();
    runUntil(fixture_.io, [&] { return fixture_.count(counter) == all.size(); });
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - began;
    EXPECT_LT(took.count(), kNoticeTime);
    EXPECT_EQ(fixture_.count(Counter::clientsGone), all.size());
    EXPECT_EQ(fixture_.gatherer->exchange().live(), otherQueries);
}

std::size_t DisconnectingClients::countSentIn(const std::string& received) const {
    const auto isSent = [&](const OneClient& client) {
        return received.find(client.mark) != std::string::npos;
    };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), isSent));
}

}  // namespace beechpoint::test
