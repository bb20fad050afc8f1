// Reading searches and merging their answers.
#include "frontend/search.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

using namespace beechpoint;

namespace {

const frontend::SearchSettings kSearch{{{"pallets", "pallet-lookup"}}, 24};

// The search's window, time-out, shards and text, or its error.
std::string read(const std::string& body, const std::string& url = "", const std::string& index = "pallets") {
    try {
        const frontend::Search search =
            frontend::readSearch(index, body, frontend::readParameters(url), kSearch);
        std::string shards;
        for (const int shard : search.slices) shards += "," + std::to_string(shard);
        if (search.slices.size() == 24) shards = " all";
        return std::to_string(search.from) + "+" + std::to_string(search.size) + " " +
               std::to_string(static_cast<int>(search.timeout)) + shards + " " + search.text;
    } catch (const frontend::SearchError& error) {
        return std::to_string(error.status) + " " + error.what();
    }
}

TEST(Search, IsReadOrRejectedByBodyAndParameters) {
    const struct {
        std::string body, url, expected;  // expected: the beginning
    } cases[] = {
        {"", "", R"(0+10 0 all {"from":0,"size":10})"},
        {R"({"from":5,"size":7,"query":{"term":{"n":1.50}}})", "preference=_shards:3,9&timeout=500ms",
         R"(5+7 500,3,9 {"from":0,"size":12,"query":{"term":{"n":1.50}}})"},
        {R"({"timeout":"2s"})", "preference=_shards%3A3", "0+10 2000,3 "},
        {R"({"size":3})", "size=4", "0+4"},
        {"{", "", "400"},
        {"[]", "", "400"},
        {R"({"aggs":{}})", "", "400 the search does not support the clause [aggs]"},
        {R"({"query":7})", "", "400 [query]"},
        {R"({"query":{"a":{},"b":{}}})", "", "400 [query]"},
        {R"({"size":1,"size":2})", "", "400 the body names a clause twice"},
        {R"({"\u0073ize":1})", "", "400 the body names a clause twice or with escapes"},
        {R"({"size":-1})", "", "400 [size]"},
        {R"({"size":9999,"from":2})", "", "400 result window"},
        {R"({"timeout":"5"})", "", "400 failed to parse setting [timeout]"},
        {R"({"sort":["_doc"]})", "", "400 [sort] does not support [_doc]"},
        {R"({"sort":[{"n":{"order":"up"}}]})", "", "400 [sort]"},
        {R"({"sort":[{"n":{"mode":"avg"}}]})", "", "400 [sort] does not support [mode]"},
        {"", "scroll=1m", "400 request contains unsupported parameter: [scroll]"},
        {"", "preference=_shards:24", "400 [preference] names no slice"},
        {"", "preference=_shards:", "400 [preference] names no slice"},
        {"", "preference=_shards:3,3", "400 [preference] names slice [3] twice"},
        {"", "preference=_local", "400 [preference] does not support"},
        {"", "size=%zz", "400 the URL has a bad escape"},
        {"", "size=1&size=2", "400 parameter [size] is given twice"},
    };
    for (const auto& c : cases) {
        const std::string got = read(c.body, c.url);
        EXPECT_TRUE(got.starts_with(c.expected)) << got << ", not " << c.expected;
    }
    EXPECT_TRUE(read("", "", "none").starts_with("404 no such index"));
}

TEST(Search, NamesOneShardWhenRouted) {
    const std::string routed = read("", "routing=k17");
    EXPECT_TRUE(routed.starts_with("0+10 0," + std::to_string(frontend::sliceOf("k17", 24)) + " "));
}

// The published figures of the hash, by way of an index of 1024 shards, whose number is the hash's low end.
TEST(SearchRouting, AgreesWithThePublishedHashes) {
    const std::pair<const char*, std::uint32_t> hashes[] = {{"hell", 0x5a0cb7c3u},
                                                            {"hello", 0xd7c31989u},
                                                            {"hello w", 0x22ab2984u},
                                                            {"hello wo", 0xdf0ca123u},
                                                            {"hello wor", 0xe7744d61u}};
    for (const auto& [word, hash] : hashes)
        EXPECT_EQ(frontend::sliceOf(word, 1024), static_cast<int>(hash & 1023u));
}

TEST(MultiSearch, CountsSearchesOrIsRejected) {
    // The number of searches, or the error's status below 0.
    const auto multi = [](const std::string& body) {
        try {
            return static_cast<int>(frontend::readMultiSearch("", body, {}, kSearch).size());
        } catch (const frontend::SearchError& error) {
            return -error.status;
        }
    };
    EXPECT_EQ(
        multi("{\"index\":\"pallets\"}\n{}\n{\"index\":\"pallets\",\"preference\":\"_shards:1\"}\n{}\n"), 2);
    EXPECT_EQ(multi("{\"index\":\"pallets\"}\n{}"), -400);
    EXPECT_EQ(multi("{\"index\":\"pallets\"}\n"), -400);
    EXPECT_EQ(multi("{\"index\":\"pallets\"}\n{}\n{\"index\":\"pallets\"}\n{\"aggs\":{}}\n"), -400);
    EXPECT_EQ(multi("{\"index\":\"none\"}\n{}\n"), -404);
    EXPECT_EQ(multi(""), -400);
}

std::string answerWith(const std::string& hits) {
    return R"({"timed_out":false,"_shards":{"failed":0},"hits":{"total":{"value":9,"relation":"eq"},"hits":[)" +
           hits + "]}}";
}

// The merged body of the answers of shards 2 and 0, or the error's status.
std::string merge(const frontend::Search& search, const std::string& two, const std::string& zero) {
    Final final;
    final.parts = {{0, zero}, {2, two}};
    try {
        const std::string body = frontend::mergedBody(search, final, 7);
        EXPECT_TRUE(nlohmann::json::accept(body));
        return body;
    } catch (const frontend::SearchError& error) {
        return std::to_string(error.status);
    }
}

// A search of the first three hits in shards 2 and 0.
frontend::Search searchOfTwoShards() {
    frontend::Search search;
    search.slices = {2, 0};
    search.size = 3;
    return search;
}

// Equal scores in the order of the shards; every byte of a hit as it came.
TEST(SearchMerge, OrdersHitsByScore) {
    frontend::Search search = searchOfTwoShards();
    const std::string a = R"({"_id":"a","_score":1.50,"n":1e2})", b = R"({"_id":"b","_score":2})",
                      c = R"({"_id":"c","_score":1.5})", d = R"({"_id":"d","_score":0.1})";
    std::string body = merge(search, answerWith(a), answerWith(b + "," + c + "," + d));
    EXPECT_NE(body.find("[" + b + "," + a + "," + c + "]"), std::string::npos);
    EXPECT_NE(body.find(R"("total":{"value":18,"relation":"eq"})"), std::string::npos);
    EXPECT_NE(body.find(R"("_shards":{"total":2,"successful":2,"skipped":0,"failed":0})"), std::string::npos);
    search.from = 1;
    search.size = 1;
    EXPECT_NE(merge(search, answerWith(a), answerWith(b)).find("[" + a + "]"), std::string::npos);
}

TEST(SearchMerge, OrdersHitsByTheirSortValues) {
    frontend::Search search = searchOfTwoShards();
    search.sort = {{"n", true, false}, {"m", false, false}};
    const std::string a = R"({"_id":"a","_score":1.50,"n":1e2})";
    const std::string e = R"({"_id":"e","sort":[5,"x"]})", f = R"({"_id":"f","sort":[5,"a"]})",
                      g = R"({"_id":"g","sort":[null,"a"]})";
    EXPECT_NE(merge(search, answerWith(g + "," + e), answerWith(f)).find("[" + f + "," + e + "," + g + "]"),
              std::string::npos);
    EXPECT_EQ(merge(search, answerWith(a), answerWith(e)), "503");  // no sort values: its order can't be told
}

TEST(SearchMerge, IsRejectedWhenAShardsAnswerIsCorruptOrMissing) {
    const frontend::Search search = searchOfTwoShards();
    const std::string b = R"({"_id":"b","_score":2})";
    for (const char* corrupt : {"", "[]", "{}", R"({"hits":{"hits":{}}})", R"({"hits":{"hits":[1]}})"})
        EXPECT_EQ(merge(search, corrupt, answerWith(b)), "503");
    Final missing;
    missing.parts = {{0, "{}"}};
    EXPECT_THROW(frontend::mergedBody(search, missing, 0), frontend::SearchError);
}

TEST(SearchError, NamesItsRootCauseAndStatus) {
    const std::string error =
        frontend::searchErrorBody({404, "index_not_found_exception", "no such index [x]"});
    EXPECT_NE(
        error.find(R"("root_cause":[{"reason":"no such index [x]","type":"index_not_found_exception"}])"),
        std::string::npos);
    EXPECT_NE(error.find(R"("status":404)"), std::string::npos);
}

}  // namespace
