// The same 10,000 queries through both protocols.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "opensearch_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using Json = nlohmann::json;

namespace {

constexpr int kQueries = 10'000;
constexpr int kClients = 12;
// Queries before the first fault: the coordinator has rated its hosts by then.
constexpr int kBeforeFaults = 500;
constexpr Millis kUnansweredWait = 400;  // what a client waits for a query that nobody answers
constexpr Millis kSlack = 50;

// What happens to a query, by its number.
enum class Kind { answered, malformed, failsOnce, unanswered };

Kind kindOf(int n) {
    if (n % 100 == 7) return Kind::malformed;
    if (n < kBeforeFaults) return Kind::answered;
    if (n % 97 == 13) return Kind::failsOnce;
    return n % 500 == 11 ? Kind::unanswered : Kind::answered;
}

std::vector<int> shardsOf(int n) {
    if (n % 3 == 0) return {n % 4};
    return {n % 4, (n + 1) % 4};
}

// What a client saw of one query.
struct SeenAnswer {
    int status = 0;
    bool inTime = false;
    std::set<std::string> ids;
    bool operator==(const SeenAnswer&) const = default;
};

// Sends all queries over a few connections; `write` gives the bytes of one, `read` the hits' ids in its
// answer.
template <class Write, class Read>
std::vector<SeenAnswer> sendAll(GathererFixture& fixture, const tcp::endpoint& to, Write write, Read read) {
    std::vector<SeenAnswer> seen(kQueries);
    std::vector<std::unique_ptr<TestClient>> clients;
    int next = 0, done = 0;
    std::vector<int> current(kClients);
    std::vector<Millis> began(kClients);
    const auto send = [&](std::size_t c) {
        if (next == kQueries) return;
        current[c] = next++;
        began[c] = fixture.clock.now();
        clients[c]->send(write(current[c]));
    };
    for (std::size_t c = 0; c < kClients; ++c) {
        clients.push_back(std::make_unique<TestClient>(fixture.io, to));
        clients[c]->onAnswer = [&, c](const Answer& answer) {
            SeenAnswer& answered = seen[static_cast<std::size_t>(current[c])];
            answered.status = answer.status;
            const bool unanswered = kindOf(current[c]) == Kind::unanswered;
            answered.inTime =
                fixture.clock.now() - began[c] <= (unanswered ? kUnansweredWait : 1200) + kSlack;
            if (answer.status == 200) answered.ids = read(answer);
            ++done;
            send(c);
        };
    }
    for (std::size_t c = 0; c < kClients; ++c) send(c);
    for (int before = -1; done < kQueries; before = done)
        runUntil(fixture.io, [&] { return done == kQueries || done >= before + 1000; });
    return seen;
}

// What a host does with each attempt of a query.
enum class Reaction { answer, fail, stayUnanswered };

class HostReactions {
public:
    Reaction next(int n) {
        const Kind kind = kindOf(n);
        if (kind == Kind::unanswered) return Reaction::stayUnanswered;
        const bool isFirst = attempts_[n]++ == 0;
        return kind == Kind::failsOnce && isFirst ? Reaction::fail : Reaction::answer;
    }

private:
    std::map<int, int> attempts_;  // by query
};

constexpr const char* kMalformedBody = R"({"query":)";

std::string bodyOf(int n) {
    if (kindOf(n) == Kind::malformed) return kMalformedBody;
    return fmt::format(R"({{"query":{{"term":{{"n":{}}}}}}})", n);
}

std::string platformRequest(int n) {
    if (kindOf(n) == Kind::malformed) {
        const std::string headers =
            fmt::format("X-Trace-Id: t{}\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n", n);
        return post("/pallet-lookup/k", headers, kMalformedBody);
    }
    const int wait = kindOf(n) == Kind::unanswered ? static_cast<int>(kUnansweredWait) : 3000;
    const std::string quoted = Json(bodyOf(n)).dump();
    return query(fmt::format("t{}", n), shardsOf(n), wait, quoted.substr(1, quoted.size() - 2));
}

std::set<std::string> platformHits(const Answer& answer) {
    std::set<std::string> ids;
    const Json body = Json::parse(answer.body);
    for (const Json& part : body["results"]) {
        const Json value = Json::parse(part["value"].get<std::string>());
        for (const Json& hit : value["hits"]["hits"]) ids.insert(hit["_id"]);
    }
    return ids;
}

std::string searchRequest(int n) {
    std::string shards;
    for (const int shard : shardsOf(n)) shards += (shards.empty() ? "" : ",") + std::to_string(shard);
    std::string target = "/pallets/_search?preference=_shards:" + shards;
    if (kindOf(n) == Kind::unanswered)
        target += fmt::format("&timeout={}ms", static_cast<int>(kUnansweredWait));
    return search(target, bodyOf(n));
}

// Also expects that the hits stand in order of their scores.
std::set<std::string> searchHits(const Answer& answer) {
    std::set<std::string> ids;
    double before = 1e9;
    const Json body = Json::parse(answer.body);
    for (const Json& hit : body["hits"]["hits"]) {
        EXPECT_LE(hit["_score"], before);
        before = hit["_score"];
        ids.insert(hit["_id"]);
    }
    return ids;
}

int expectedStatus(Kind kind) {
    if (kind == Kind::malformed) return 400;
    return kind == Kind::unanswered ? 429 : 200;
}

void expectSame(int n, const SeenAnswer& platform, SeenAnswer searched) {
    const Kind kind = kindOf(n);
    // The platform has one status for "not in time, ask again"; the query API has another one.
    if (kind == Kind::unanswered) {
        EXPECT_EQ(platform.status, 429);
        EXPECT_EQ(searched.status, 504);
        searched.status = 429;
    }
    EXPECT_TRUE(platform == searched)
        << "query " << n << ": " << platform.status << " and " << searched.status;
    EXPECT_TRUE(platform.inTime);
    EXPECT_EQ(platform.status, expectedStatus(kind));
    if (platform.status == 200) {
        EXPECT_EQ(platform.ids.size(), shardsOf(n).size());
    }
}

TEST(ProtocolComparison, GivesSameAnswersThroughBothProtocols) {
    HostReactions frameReactions;
    TwoFrameHosts frameHosts;
    frameHosts.onPart([&](const StubFrameHost::Part& part) {
        const int n = queryNumberIn(part.text);
        const Reaction reaction = frameReactions.next(n);
        if (reaction == Reaction::fail) part.answer("failed", "");
        if (reaction == Reaction::answer) part.answer("done", hitsOf(n, part.shard));
    });
    GathererFixture platform(frameHosts.addresses());
    const std::vector<SeenAnswer> platformAnswers =
        sendAll(platform, platform.gatherer->endpoint(), platformRequest, platformHits);

    HostReactions searchReactions;
    TwoSearchHosts searchHosts;
    searchHosts.onRequest([&](const StubHttpHost::HttpRequest& request) {
        const int n = queryNumberIn(request.body);
        const Reaction reaction = searchReactions.next(n);
        if (reaction == Reaction::fail) request.answer(500, "{}");
        if (reaction == Reaction::answer) request.answer(200, hitsOf(n, shardIn(request.target)));
    });
    GathererFixture searching(searchHosts.addresses(), useOpenSearch);
    const std::vector<SeenAnswer> searchAnswers =
        sendAll(searching, searching.gatherer->searchEndpoint(), searchRequest, searchHits);

    for (int n = 0; n < kQueries; ++n) {
        const auto index = static_cast<std::size_t>(n);
        expectSame(n, platformAnswers[index], searchAnswers[index]);
    }
    EXPECT_EQ(platform.count(Counter::answeredWhole), searching.count(Counter::answeredWhole));
}

}  // namespace
