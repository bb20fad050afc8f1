// What an answer of the query API counts as, and its exchange with hosts when an answer comes before its
// request was sent.
#include "backend/search.hpp"

#include <gtest/gtest.h>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

std::string answerWith(const std::string& hits) {
    return R"({"timed_out":false,"_shards":{"failed":0},"hits":{"total":{"value":9,"relation":"eq"},"hits":[)" +
           hits + "]}}";
}

TEST(SearchOutcome, IsServedOnlyWhenTheAnswerIsComplete) {
    const struct {
        int status;
        std::string body;
        Outcome outcome;
    } cases[] = {
        {200, answerWith(""), Outcome::served},
        {429, "", Outcome::turnedAway},
        {503, answerWith(""), Outcome::error},
        {200, "", Outcome::error},
        {200, R"({"timed_out":true,"_shards":{"failed":0},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{"failed":1},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{"failed":0},"hits":{}})", Outcome::error},
        {200, R"({"timed_out":false,"terminated_early":true,"_shards":{"failed":0},"hits":{"hits":[]}})",
         Outcome::error},
    };
    for (const auto& c : cases)
        EXPECT_EQ(backend::searchOutcome(c.status, c.body), c.outcome) << c.status << " " << c.body;
}

// The answer comes before its request was sent whole: the next search waits for the rest, and no longer.
TEST(SearchConnection, SendsNextSearchAfterRestOfTheFirstWhenAnsweredEarly) {
    PartialWriteFixture partial(true);
    TestClient client(partial.fixture.io, partial.fixture.gatherer->endpoint()),
        after(partial.fixture.io, partial.fixture.gatherer->endpoint());
    client.send(query("t", {0}, 10'000'000, std::string(60'000, 'x') + "end"));
    partial.runUntilPartlyWritten();
    after.send(query("after", {0}, 10'000'000, "after"));
    runUntil(partial.fixture.io, [&] { return partial.fixture.gatherer->exchange().live() == 2; });
    partial.host.connections[0]->send(net::response(200, "application/json", kEmptySearchAnswer, true));
    runUntil(partial.fixture.io, [&] { return client.answers.size() == 1; });
    EXPECT_EQ(client.answers[0].status, 200);
    EXPECT_EQ(partial.fixture.count(Counter::attemptsWritten), 0);
    EXPECT_EQ(partial.fixture.count(Counter::attemptsSent), 1);
    partial.host.read(0);
    runUntil(partial.fixture.io, [&] { return partial.host.received.find("after") != std::string::npos; });
    EXPECT_NE(partial.host.received.find("end"), std::string::npos);
    ASSERT_EQ(partial.host.connections.size(), 1);
}

}  // namespace
