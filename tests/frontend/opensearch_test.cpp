// The query API on real sockets.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "opensearch_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using Json = nlohmann::json;

namespace {

TEST(OpenSearch, AnswersOneAndSeveralSearches) {
    TwoSearchHosts hosts;
    hosts.onRequest([](const StubHttpHost::HttpRequest& request) {
        request.answer(200, hitsOf(queryNumberIn(request.body), shardIn(request.target)));
    });
    GathererFixture fixture(hosts.addresses(), useOpenSearch);
    TestClient client(fixture.io, fixture.gatherer->searchEndpoint());
    const std::string body = R"({"size":2,"query":{"term":{"n":4}}})";
    const Answer all = client.request(search("/pallets/_search", body));
    EXPECT_EQ(all.status, 200);
    EXPECT_TRUE(all.has(R"("total":{"value":4,"relation":"eq"})"));
    ASSERT_EQ(Json::parse(all.body)["hits"]["hits"].size(), 2);
    const Answer two = client.request(search("/pallets/_search?preference=_shards:3,1&timeout=700ms", body));
    EXPECT_TRUE(two.has(R"("_shards":{"total":2,"successful":2,"skipped":0,"failed":0})"));
    for (const StubHttpHost* host : {&hosts.first, &hosts.second})
        for (const std::string& target : host->targets) {
            EXPECT_TRUE(target.starts_with("/pallets/_search?preference=_shards:"));
            EXPECT_NE(target.find("allow_partial_search_results=false&timeout="), std::string::npos);
        }
    const std::string both =
        "{\"index\":\"pallets\"}\n{}\n{\"index\":\"reports\",\"preference\":\"_shards:2\"}\n{}\n";
    const Json many = Json::parse(client.request(search("/_msearch", both)).body);
    ASSERT_EQ(many["responses"].size(), 2);
    EXPECT_EQ(many["responses"][1]["status"], 200);
}

TEST(OpenSearch, RejectsBadSearchesAndSendsNothing) {
    TwoSearchHosts hosts;
    hosts.onRequest([](const StubHttpHost::HttpRequest& request) {
        request.answer(200, hitsOf(queryNumberIn(request.body), shardIn(request.target)));
    });
    GathererFixture fixture(hosts.addresses(), useOpenSearch);
    // A good search first, on the connection that the bad ones follow on.
    TestClient client(fixture.io, fixture.gatherer->searchEndpoint());
    ASSERT_EQ(client.request(search("/pallets/_search", R"({"query":{"term":{"n":4}}})")).status, 200);
    const std::uint64_t sent = fixture.count(Counter::attemptsSent);
    EXPECT_GT(sent, 0u);
    const std::string both =
        "{\"index\":\"pallets\"}\n{}\n{\"index\":\"reports\",\"preference\":\"_shards:2\"}\n{}\n";
    const std::pair<std::string, int> bad[] = {
        {search("/pallets/_search", "{"), 400},
        {search("/pallets/_search", R"({"aggs":{}})"), 400},
        {search("/none/_search", "{}"), 404},
        {search("/pallets/_count", "{}"), 404},
        {search("/_msearch", both + "{}\n{\"aggs\":{}}\n"), 404},
        {"PUT /pallets/_search HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405}};
    for (const auto& [bytes, status] : bad) {
        const Answer answer = client.request(bytes);
        const Json error = Json::parse(answer.body);
        EXPECT_EQ(answer.status, status);
        EXPECT_EQ(error["status"], status);
        EXPECT_EQ(error["error"]["root_cause"][0]["type"], error["error"]["type"]);
    }
    EXPECT_EQ(fixture.count(Counter::attemptsSent), sent);
}

TEST(OpenSearch, RefusesWhenAShardIsIncomplete) {
    TwoSearchHosts hosts;
    // One shard is always incomplete: its answers of status 200 do not count.
    const std::string incomplete[] = {R"({"timed_out":true,"_shards":{"failed":0},"hits":{"hits":[]}})",
                                      R"({"timed_out":false,"_shards":{"failed":1},"hits":{"hits":[]}})"};
    int asked = 0;
    hosts.onRequest([&](const StubHttpHost::HttpRequest& request) {
        request.answer(
            200, shardIn(request.target) == 1 ? incomplete[asked++ % 2] : hitsOf(1, shardIn(request.target)));
    });
    GathererFixture fixture(hosts.addresses(), useOpenSearch);
    TestClient client(fixture.io, fixture.gatherer->searchEndpoint());
    const Answer answer = client.request(search("/pallets/_search", "{}"));
    EXPECT_EQ(answer.status, 429);
    EXPECT_TRUE(answer.has("rejected_execution_exception"));
    EXPECT_TRUE(answer.has("Retry-After: 1"));
    EXPECT_FALSE(answer.has("_id"));
}

TEST(OpenSearch, TimesOutWhenHostsDoNotAnswer) {
    TwoSearchHosts hosts;  // which do not answer
    GathererFixture fixture(hosts.addresses(), [](Config& c) {
        useOpenSearch(c);
        c.settings.openCap = 6;
    });
    TestClient client(fixture.io, fixture.gatherer->searchEndpoint()),
        other(fixture.io, fixture.gatherer->searchEndpoint());
    const Millis began = fixture.clock.now();
    client.send(search("/pallets/_search?timeout=300ms", "{}"));
    runUntil(fixture.io, [&] { return fixture.gatherer->exchange().live() == 1; });
    EXPECT_EQ(other.request(search("/pallets/_search", "{}")).status, 429);  // over the cap
    runUntil(fixture.io, [&] { return client.answers.size() == 1; });
    EXPECT_EQ(client.answers[0].status, 504);
    EXPECT_TRUE(client.answers[0].has("timeout_exception"));
    EXPECT_LE(fixture.clock.now() - began, 350);
    // A longer time than that of the class changes nothing.
    EXPECT_EQ(client.request(search("/pallets/_search?timeout=1h", "{}")).status, 504);
    EXPECT_LT(fixture.clock.now() - began, 2000);
}

}  // namespace
