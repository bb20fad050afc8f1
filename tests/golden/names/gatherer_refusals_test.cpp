// What a gatherer answers: its platform calls, the query API, and the operators' endpoint.
#include <fmt/format.h>

#include <optional>

#include "gatherer.hpp"
#include "http_answer.hpp"
#include "json_keys.hpp"
#include "loopback.hpp"

namespace beechpoint::golden {
namespace {

// A gatherer on loopback that knows no live host.
class GoldenGatherer : public ::testing::Test {
protected:
    GoldenGatherer()
        : log(clock, logging::Format::json, -1), config(readConfig(sample("gatherer.json"), clock)) {
        readOperator(sample("operator.json"), config);
        gatherer.emplace(io, config, clock, counters, log);
        gatherer->start();
    }
    std::string front(std::string_view name, const std::string& bytes) {
        return answerLine(name, ask(io, gatherer->endpoint(), bytes));
    }
    std::string query(std::string_view name, const std::string& bytes) {
        return answerLine(name, ask(io, gatherer->searchEndpoint(), bytes));
    }
    std::string operators(const std::string& method, const std::string& target) {
        return ask(io, gatherer->operatorAddress(), request(method, target));
    }

    asio::io_context io;
    Clock clock;
    Counters counters;
    Logger log;
    Config config;
    std::optional<Gatherer> gatherer;
};

TEST_F(GoldenGatherer, RefusalsOfThePlatformsCalls) {
    const std::string headers = "X-Qos: c\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: 100\r\n";
    const Lines lines{
        front("POST /up", request("POST", "/up")),
        front("GET /c", request("GET", "/c")),
        front("GET /none", request("GET", "/none")),
        front("unknown class", request("POST", "/none")),
        front("no X-Qos", request("POST", "/c")),
        front("another X-Qos", request("POST", "/c", "X-Qos: d\r\n")),
        front("no X-Trace-Id", request("POST", "/c", "X-Qos: c\r\n")),
        front("bad X-Trace-Id", request("POST", "/c", "X-Qos: c\r\nX-Trace-Id: a.b\r\n")),
        front("no X-Expires-In-Ms", request("POST", "/c", "X-Qos: c\r\nX-Trace-Id: t1\r\n")),
        front("bad X-Expires-In-Ms",
              request("POST", "/c", "X-Qos: c\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: x\r\n")),
        front("no body", request("POST", "/c", headers)),
        front("no targets", request("POST", "/c", headers, "{}")),
        front("bad partition", request("POST", "/c", headers, R"({"targets":[{}],"query":"q"})")),
        front("partition out of range",
              request("POST", "/c", headers, R"({"targets":[{"partition":9}],"query":"q"})")),
        front("bad share", request("POST", "/c", headers, R"({"targets":[{"partition":1}],"query":"q"})")),
        front("no query", request("POST", "/c", headers, R"({"targets":[{"partition":1,"share":1}]})")),
        front("shares do not add up",
              request("POST", "/c", headers, R"({"targets":[{"partition":1,"share":0.5}],"query":"q"})")),
        front("malformed", "nonsense\r\n\r\n"),
    };
    EXPECT_TRUE(matchesGolden("platform_answers", lines));
}

TEST_F(GoldenGatherer, RefusalsOfTheQueryApi) {
    const Lines lines{
        query("no handler", request("GET", "/logs/_none")),
        query("method", request("PUT", "/logs/_search")),
        query("no index", request("POST", "/none/_search", "", "{}")),
        query("not JSON", request("POST", "/logs/_search", "", "{")),
        query("unknown parameter", request("POST", "/logs/_search?nonsense=1", "", "{}")),
        query("empty _msearch", request("POST", "/_msearch")),
    };
    EXPECT_TRUE(matchesGolden("query_api_answers", lines));
}

TEST_F(GoldenGatherer, CountersAndFiguresOfTheOperatorsEndpoint) {
    ask(io, gatherer->endpoint(), request("POST", "/none"));
    const std::string counted = ask(io, gatherer->endpoint(), request("GET", "/counters"));
    EXPECT_TRUE(counted.starts_with("HTTP/1.1 200")) << counted;
    EXPECT_TRUE(bodyOf(counted).starts_with("badRequests=1")) << counted;
    EXPECT_TRUE(matchesGolden("gatherer_stats", keysOf(bodyOf(operators("GET", "/ops/stats")))));
}

TEST_F(GoldenGatherer, TheGroupAsTheOperatorsEndpointShowsIt) {
    const auto shown = [this] { return Json::parse(bodyOf(operators("GET", "/ops/group"))); };
    EXPECT_TRUE(operators("PUT", "/ops/group/found/1").starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(test::until(io, [&] { return !shown()["mayAct"].empty(); })) << shown();
    Lines keys;
    for (const std::string& key : keysOf(shown()))  // a duty's name is a key here
        if (!key.starts_with("mayAct.")) keys.push_back(key);
    EXPECT_TRUE(matchesGolden("gatherer_group", keys));
}

// Controls that answer as scripted.
class ScriptedControls : public admin::Controls {
public:
    bool ready() const override { return yes; }
    std::string stats() const override { return "{}"; }
    bool drain(bool) override { return yes; }
    std::string group() const override { return inGroup ? "{}" : ""; }
    bool foundGroup(std::uint64_t) override { return yes; }
    void singletonRole(bool, const std::string&, const std::string&,
                       std::function<void(Settled)> later) override {
        later({known, yes, 7});
    }
    void trackHost(const std::string&, bool, Later later) override { later(reply); }

    bool yes = true, inGroup = true, known = true;
    Reply reply = Reply::done;
};

class GoldenOperatorsEndpoint : public ::testing::Test {
protected:
    GoldenOperatorsEndpoint() : log(clock, logging::Format::json, -1), endpoint(io, clock, log, controls) {
        endpoint.listen(test::anyPort());
    }
    void ask(std::string_view state, const std::string& method, const std::string& target) {
        lines.push_back(answerLine(fmt::format("{}: {} {}", state, method, target),
                                   golden::ask(io, endpoint.endpoint(), request(method, target))));
    }
    void askAll(std::string_view state) {
        for (const char* target : {"/ops/readiness", "/ops/stats", "/ops/group"}) ask(state, "GET", target);
        for (const char* target : {"/ops/drain/start", "/ops/drain/stop", "/ops/track-hosts/down/h1",
                                   "/ops/track-hosts/up/h1", "/ops/group/found/1", "/ops/group/take/tidy",
                                   "/ops/group/give/tidy", "/ops/group/give/tidy/n1"})
            ask(state, "PUT", target);
    }

    asio::io_context io;
    Clock clock;
    Logger log;
    ScriptedControls controls;
    admin::OperatorEndpoint endpoint;
    Lines lines;
};

TEST_F(GoldenOperatorsEndpoint, AnswersInEachState) {
    askAll("yes");
    controls.yes = false;
    controls.reply = admin::Controls::Reply::unknown;
    askAll("no");
    controls.known = controls.inGroup = false;
    controls.reply = admin::Controls::Reply::impossible;
    askAll("in no group");
    controls.inGroup = true;
    ask("not known", "PUT", "/ops/group/take/tidy");
    EXPECT_TRUE(matchesGolden("operators_endpoint_answers", lines));
}

TEST_F(GoldenOperatorsEndpoint, RefusalsOfCalls) {
    ask("path", "GET", "/ops/none");
    ask("path", "PUT", "/ops/track-hosts/side/h1");
    ask("id", "PUT", "/ops/track-hosts/down/%zz");
    ask("number", "PUT", "/ops/group/found/0");
    ask("duty", "PUT", "/ops/group/take/%zz");
    for (const char* target : {"/ops/readiness", "/ops/stats", "/ops/group"}) ask("method", "PUT", target);
    for (const char* target : {"/ops/drain/start", "/ops/track-hosts/down/h1", "/ops/group/found/1"})
        ask("method", "GET", target);
    EXPECT_TRUE(matchesGolden("operators_endpoint_refusals", lines));
}

}  // namespace
}  // namespace beechpoint::golden
