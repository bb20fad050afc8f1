// What clients get: the platform's answers, the search API's, and the HTTP response round them.
#include <cstring>
#include <nlohmann/json.hpp>
#include <string>

#include "frontend/platform.hpp"
#include "frontend/search.hpp"
#include "golden_file.hpp"
#include "net/http.hpp"

namespace beechpoint::golden {
namespace {

using Json = nlohmann::json;

Final answered(bool whole, std::vector<PartAnswer> parts) {
    Final final;
    final.kind = Final::Kind::answered;
    final.whole = whole;
    final.parts = std::move(parts);
    return final;
}

Json checkBody(const std::string& name, const std::string& written) {
    return Json::parse(expectGolden("front_answers", name, written));
}

TEST(FrontAnswers, PlatformBody) {
    const Json whole =
        checkBody("platform_whole",
                  frontend::platformBody(answered(true, {{4, "plain"}, {0, "quoted \"text\"\n\x01 büche"}})));
    EXPECT_EQ(whole.at("whole"), true);
    ASSERT_EQ(whole.at("results").size(), 2u);
    EXPECT_EQ(whole.at("results").at(0).at("partition"), 4);
    EXPECT_EQ(whole.at("results").at(0).at("value"), "plain");
    EXPECT_EQ(whole.at("results").at(1).at("partition"), 0);
    EXPECT_EQ(whole.at("results").at(1).at("value"), "quoted \"text\"\n\x01 büche");

    const Json empty = checkBody("platform_empty", frontend::platformBody(answered(false, {})));
    EXPECT_EQ(empty.at("whole"), false);
    EXPECT_TRUE(empty.at("results").empty());
}

frontend::Search searchOf(std::vector<int> slices) {
    frontend::Search search;
    search.index = "tracks";
    search.slices = std::move(slices);
    return search;
}

TEST(FrontAnswers, MergedByScore) {
    const Final final = answered(
        true, {{0, R"({"hits":{"total":{"value":7,"relation":"eq"},"hits":[{"_id":"a","_score":1.5}]}})"},
               {1, R"({"hits":{"total":{"value":9,"relation":"gte"},"hits":[{"_id":"b","_score":2.25}]}})"}});
    const Json body = checkBody("merged_by_score", frontend::mergedBody(searchOf({0, 1}), final, 12.9));
    EXPECT_EQ(body.at("took"), 12);
    EXPECT_EQ(body.at("_shards").at("total"), 2);
    EXPECT_EQ(body.at("hits").at("total").at("value"), 16);
    EXPECT_EQ(body.at("hits").at("total").at("relation"), "gte");
    EXPECT_EQ(body.at("hits").at("max_score"), 2.25);
    EXPECT_EQ(body.at("hits").at("hits").at(0).at("_id"), "b");
    EXPECT_EQ(body.at("hits").at("hits").at(1).at("_id"), "a");
}

TEST(FrontAnswers, MergedBySortWithoutTotal) {
    frontend::Search search = searchOf({0, 1});
    search.sort = {{"year", true, false}};
    search.from = 1;
    search.size = 1;
    const Final final = answered(true, {{0, R"({"hits":{"hits":[{"_id":"a","sort":[1999]}]}})"},
                                        {1, R"({"hits":{"hits":[{"_id":"b","sort":[2004]}]}})"}});
    const Json body = checkBody("merged_by_sort", frontend::mergedBody(search, final, 0));
    EXPECT_FALSE(body.at("hits").contains("total"));
    EXPECT_TRUE(body.at("hits").at("max_score").is_null());
    ASSERT_EQ(body.at("hits").at("hits").size(), 1u);
    EXPECT_EQ(body.at("hits").at("hits").at(0).at("_id"), "a");
}

Final failure(Final::Kind kind, Final::Why why) {
    Final final;
    final.kind = kind;
    final.why = why;
    return final;
}

TEST(FrontAnswers, SearchErrors) {
    const std::vector<std::pair<std::string, Final>> samples = {
        {"error_deadline", failure(Final::Kind::failed, Final::Why::deadline)},
        {"error_open_cap", failure(Final::Kind::refused, Final::Why::openCap)},
        {"error_refused", failure(Final::Kind::refused, Final::Why::decided)},
        {"error_failed", failure(Final::Kind::failed, Final::Why::decided)}};
    for (const auto& [name, final] : samples) {
        const frontend::SearchError error = frontend::errorOf(final);
        const Json body = checkBody(name, frontend::searchErrorBody(error));
        EXPECT_EQ(body.at("status"), error.status) << name;
        EXPECT_EQ(body.at("error").at("type"), error.type) << name;
        EXPECT_EQ(body.at("error").at("reason"), error.what()) << name;
        EXPECT_EQ(body.at("error").at("root_cause").at(0).at("type"), error.type) << name;
    }
}

// Reads a response as a client does.
void checkResponse(const std::string& name, const std::string& written, int status, const std::string& body,
                   bool keepAlive) {
    SCOPED_TRACE(name);
    const std::string bytes = expectGolden("front_answers", name, written);
    net::Buffer buffer;
    std::memcpy(buffer.prepare(bytes.size()).data(), bytes.data(), bytes.size());
    buffer.commit(bytes.size());
    net::HttpReader reader(net::HttpReader::Kind::response, buffer);
    ASSERT_EQ(reader.parse(), net::HttpReader::State::complete);
    const net::HttpMessage message = reader.message();
    EXPECT_EQ(message.status, status);
    EXPECT_EQ(message.body, body);
    EXPECT_EQ(message.keepAlive, keepAlive);
    EXPECT_EQ(message.header("Content-Type"), "text/plain");
}

TEST(FrontAnswers, Responses) {
    checkResponse("response_kept_open", net::response(200, "text/plain", "up\n", true), 200, "up\n", true);
    checkResponse("response_closing", net::response(503, "text/plain", "not taking queries\n", false), 503,
                  "not taking queries\n", false);
    checkResponse("response_retry_after",
                  net::response(429, "text/plain", "refused\n", true, net::retryAfterHeader(1250.5)), 429,
                  "refused\n", true);
}

// One head for every status that the program knows a reason for, and for some that it doesn't.
TEST(FrontAnswers, StatusLines) {
    for (int status = 100; status < 600; ++status) {
        const std::string reason(net::reasonOf(status));
        if (reason == net::reasonOf(599)) continue;
        expectGolden("front_answers", "reason_" + std::to_string(status), reason);
    }
    expectGolden("front_answers", "reason_unknown", std::string(net::reasonOf(599)));
}

}  // namespace
}  // namespace beechpoint::golden
