// The admin endpoint on real sockets: calls, drain and figures.
#include <gtest/gtest.h>

#include <algorithm>

#include "operator_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

TEST(OperatorEndpoint, AnswersOneErrorAndChangesNothingWhenCallIsBad) {
    OperatorFixture operators;
    const std::pair<std::string, int> cases[] = {
        {get("/ops/readiness"), 200},
        {get("/ops/nothing"), 404},
        {get("/up"), 404},
        {put("/ops/track-hosts/sideways/h0"), 404},
        {put("/ops/track-hosts/down"), 404},
        {put("/ops/track-hosts/down/"), 400},
        {put("/ops/track-hosts/down/h%2"), 400},
        {put("/ops/track-hosts/down/a/b"), 400},
        {put("/ops/track-hosts/down/h7"), 404},
        {put("/ops/track-hosts/up/h7"), 404},
        {"nonsense\r\n\r\n", 400},
        {"GET /ops/stats HTTP/1.1\r\nPadding: " + std::string(24000, 'x') + "\r\n\r\n", 431}};
    for (const auto& [bytes, status] : cases) {
        EXPECT_EQ(operators.call(bytes).status, status) << bytes.substr(0, 40);
    }
    const Answer wrong = operators.call(put("/ops/stats"));
    EXPECT_EQ(wrong.status, 405);
    EXPECT_TRUE(wrong.has("Allow: GET"));
    EXPECT_TRUE(operators.call(get("/ops/drain/start")).has("Allow: PUT"));
    EXPECT_EQ(operators.up(), 200);  // nothing was changed by any of them
}

// Callers that finish no call take no place from those that do, and are closed after a while.
TEST(OperatorEndpoint, AnswersOthersWhenCallersAreSlow) {
    OperatorFixture operators;
    std::vector<std::unique_ptr<TestClient>> slow;
    for (int i = 0; i < 40; ++i) {
        slow.push_back(std::make_unique<TestClient>(operators.fixture.io,
                                                    operators.fixture.gatherer->operatorAddress()));
        if (i % 2 == 0) slow.back()->send("GET /ops/rea");
        EXPECT_EQ(operators.call(get("/ops/readiness")).status, 200);
    }
    operators.fixture.clock.set(operators.fixture.clock.now() + 2300);
    runUntil(operators.fixture.io, [&] {
        return std::all_of(slow.begin(), slow.end(), [](const auto& c) { return c->connection->ended; });
    });
}

TEST(OperatorEndpoint, DrainsAndServesAgainWhenTheDrainIsStopped) {
    OperatorFixture operators;
    asio::io_context& io = operators.fixture.io;
    operators.fixture.clock.set(operators.fixture.clock.now());  // the clock stands still from here on
    std::vector<StubFrameHost::Part> pendingParts;
    operators.host.onPart = [&](const StubFrameHost::Part& part) { pendingParts.push_back(part); };
    TestClient busy(io, operators.fixture.gatherer->endpoint()),
        idle(io, operators.fixture.gatherer->endpoint());
    EXPECT_EQ(idle.request(get("/up")).status, 200);
    busy.send(query("t1", {0}));
    runUntil(io, [&] { return pendingParts.size() == 1; });

    EXPECT_EQ(operators.call(put("/ops/drain/start")).status, 200);
    EXPECT_EQ(operators.call(put("/ops/drain/start")).status, 200);  // a second start changes nothing
    EXPECT_EQ(operators.up(), 503);
    EXPECT_EQ(operators.call(get("/ops/readiness")).status, 200);
    operators.host.onPart = [](const StubFrameHost::Part& part) { part.answer("done", "v"); };
    TestClient late(
        io, operators.fixture.gatherer->endpoint());  // the gateway learns of the drain a little later
    const Answer served = late.request(query("t2", {0}));
    EXPECT_EQ(served.status, 200);
    EXPECT_FALSE(served.keepAlive);
    EXPECT_FALSE(idle.connection->ended);
    const Answer onOldConnection =
        idle.request(query("t3", {0}));  // a request on a connection kept from before
    EXPECT_EQ(onOldConnection.status, 200);
    EXPECT_FALSE(onOldConnection.keepAlive);
    late.connection->close();
    idle.connection->close();
    runUntil(io, [&] { return operators.fixture.gatherer->clients() == 1; });  // the busy one
    TestClient idleLater(io, operators.fixture.gatherer->endpoint());
    runUntil(io, [&] { return operators.fixture.gatherer->clients() == 2; });
    operators.fixture.clock.set(operators.fixture.clock.now() + 1000);
    runUntil(io, [&] { return idleLater.connection->ended; });
    EXPECT_EQ(operators.fixture.gatherer->clients(), 1);
    EXPECT_FALSE(busy.connection->ended);
    pendingParts[0].answer("done", "v");
    runUntil(io, [&] { return busy.answers.size() == 1 && busy.connection->ended; });
    EXPECT_EQ(busy.answers[0].status, 200);
    EXPECT_FALSE(busy.answers[0].keepAlive);

    EXPECT_EQ(operators.call(put("/ops/drain/stop")).status, 200);
    EXPECT_EQ(operators.up(), 200);
    TestClient back(io, operators.fixture.gatherer->endpoint());
    EXPECT_TRUE(back.request(query("t4", {0})).keepAlive);
    operators.fixture.clock.set(operators.fixture.clock.now() + 3000);
    EXPECT_TRUE(back.request(query("t5", {0})).keepAlive);
    EXPECT_FALSE(back.connection->ended);
}

TEST(OperatorEndpoint, CountsAnswersByClassAsClientsSawThem) {
    OperatorFixture operators([](Config& c) { c.settings.openCap = 4; });
    asio::io_context& io = operators.fixture.io;
    for (const char* figure : {"success", "busy", "failure"})
        for (const char* className : {"pallet-lookup", "day-report"})
            EXPECT_EQ(operators.stat(std::string(figure) + "/" + className), 0);
    TestClient client(io, operators.fixture.gatherer->endpoint()),
        other(io, operators.fixture.gatherer->endpoint());
    for (const char* id : {"t1", "t2"}) EXPECT_EQ(client.request(query(id, {0, 1})).status, 200);
    EXPECT_EQ(client.request(query("t3", {0}, 3000, "q", "day-report")).status, 200);
    EXPECT_EQ(client.request(query("t4", {9})).status, 400);
    std::vector<StubFrameHost::Part> pendingParts;
    operators.host.onPart = [&](const StubFrameHost::Part& part) { pendingParts.push_back(part); };
    client.send(query("t5", {0, 1}));
    runUntil(io, [&] { return pendingParts.size() == 2; });
    EXPECT_EQ(other.request(query("t6", {0, 1})).status, 429);  // over the cap
    EXPECT_EQ(operators.stat("inflight"), 1);
    EXPECT_EQ(operators.stat("success/pallet-lookup"), 2);
    EXPECT_EQ(operators.stat("success/day-report"), 1);
    EXPECT_EQ(operators.stat("busy/pallet-lookup"), 1);
    EXPECT_EQ(operators.stat("failure/pallet-lookup"), 1);
    EXPECT_EQ(operators.stat("failure/day-report"), 0);
    EXPECT_EQ(operators.stat("backend_calls"), 7);
    EXPECT_EQ(operators.stat("hosts_listed"), 1);
    client.connection->close();  // it leaves: counted nowhere
    runUntil(io, [&] { return operators.fixture.gatherer->exchange().live() == 0; });
    EXPECT_EQ(operators.stat("inflight"), 0);
    EXPECT_EQ(operators.stat("success/pallet-lookup"), 2);
}

TEST(OperatorEndpoint, ChangesNothingWhenABanCantBeStored) {
    OperatorFixture operators([](Config& c) { c.stateFolder = "no-such-folder"; });
    EXPECT_EQ(operators.call(put("/ops/track-hosts/down/h0")).status, 503);
    EXPECT_EQ(operators.stat("hosts_down"), 0);
}

}  // namespace
