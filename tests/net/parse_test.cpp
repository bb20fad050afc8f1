// Tables of cases for all that is parsed.
#include <nlohmann/json.hpp>

#include "backend/search.hpp"
#include "check.hpp"
#include "discovery/hostlist.hpp"
#include "frontend/platform.hpp"
#include "frontend/search.hpp"
#include "net/json.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using State = net::HttpReader::State;

namespace {

void fill(net::Buffer& buffer, const std::string& bytes) {
    std::memcpy(buffer.prepare(bytes.size()).data(), bytes.data(), bytes.size());
    buffer.commit(bytes.size());
}

void httpRequests() {
    const std::string chunked =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    const struct {
        std::string bytes;
        State state;
        std::string body;
        bool keepAlive;
    } cases[] = {
        {"GET /up HTTP/1.1\r\n\r\n", State::complete, "", true},
        {"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n", State::complete, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", State::complete, "abc", true},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", State::more, "", false},
        {chunked, State::complete, "abcde", true},
        {"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", State::tooLarge, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + std::string(65537, 'x'),
         State::tooLarge, "", false},
        {"GET /" + std::string(20000, 'a'), State::tooLarge, "", false},
        {"\x01\x02 nonsense\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", State::bad, "", false},
        // Lengths that can be read in two ways: another request may hide in the body.
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", State::bad,
         "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", State::bad,
         "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\nabc", State::bad, "",
         false},
        {"POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", State::bad, "", false},
        {"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", State::bad, "", false},
    };
    for (const auto& c : cases)
        for (const std::size_t step : {c.bytes.size(), std::size_t{1}}) {  // at once, and byte by byte
            net::Buffer buffer;
            net::HttpReader reader(net::HttpReader::Kind::request, buffer);
            State state = State::more;
            for (std::size_t at = 0; at < c.bytes.size() && state == State::more; at += step) {
                fill(buffer, c.bytes.substr(at, step));
                state = reader.parse();
            }
            CHECK(state == c.state);
            if (state != State::complete) continue;
            CHECK(reader.message().body == c.body && reader.message().keepAlive == c.keepAlive);
        }
    net::Buffer buffer;  // two requests at once are two messages
    net::HttpReader reader(net::HttpReader::Kind::request, buffer);
    fill(buffer, "GET /1 HTTP/1.1\r\nX-Qos: a\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    CHECK(reader.parse() == State::complete && reader.message().target == "/1");
    CHECK(reader.message().header("x-qos") == "a" && reader.message().header("none").empty());
    reader.next();
    CHECK(reader.parse() == State::complete && reader.message().target == "/2");
}

// The first calm day lost a quarter of its queries to this: a read is under way into prepare()'s space while
// the message before it is consumed.
void bufferUnderARead() {
    net::Buffer buffer;
    fill(buffer, "first");
    const auto space = buffer.prepare(16);
    buffer.consume(5);
    std::memcpy(space.data(), "second", 6);
    buffer.commit(6);
    CHECK(buffer.view() == "second");
}

void frames() {
    const auto read = [](const std::string& bytes) {
        backend::Frame frame;
        return backend::readFrame(bytes, frame);
    };
    std::string good;
    backend::writeFrame(good, 'R', "x");
    CHECK(good == std::string("\0\0\0\2Rx", 6) && read(good) == backend::FrameState::complete);
    for (std::size_t n = 0; n < good.size(); ++n) CHECK(read(good.substr(0, n)) == backend::FrameState::more);
    CHECK(read(std::string(4, '\0')) == backend::FrameState::bad);
    CHECK(read("\xff\xff\xff\xff") == backend::FrameState::bad);
    CHECK(read(std::string("\0\0\0\x9Q", 5)) == backend::FrameState::bad);  // no such letter
    for (const char* text : {"", "abc", "\xc3\xa4", "\xe2\x82\xac", "\xf0\x9f\x9a\x9a", "\xf4\x8f\xbf\xbf"})
        CHECK(backend::isText(text));
    for (const char* noise : {"\xff", "\x80", "\xc3", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80",
                              "\xf4\x90\x80\x80", "a\xe2\x82"})
        CHECK(!backend::isText(noise));
    std::string part;
    backend::writePart(part, "9b1f.3", 3, 240.9, "c41e77d0");
    CHECK(part == "9b1f.3 3 d=240 8\nc41e77d0");

    const struct {
        std::string rest;
        bool good;
        Outcome outcome;
        std::size_t loads;
        std::string value;
    } cases[] = {
        {"a.3 done 18 inflight=7,util=0.61\nv\n1", true, Outcome::served, 2, "v\n1"},
        {"a.3 failed 0 -\n", true, Outcome::error, 0, ""},
        {"a.3 full 0 queue=3\n", true, Outcome::turnedAway, 1, ""},
        {"a.3 done 18 -", false, {}, 0, ""},
        {"a.3 done 18\nv", false, {}, 0, ""},
        {"a.3 done 18 - x\nv", false, {}, 0, ""},
        {"a.3 maybe 18 -\nv", false, {}, 0, ""},
        {"a.3 done x -\nv", false, {}, 0, ""},
        {"a.3 done 18 queue=x\nv", true, Outcome::served, 0, "v"},  // the answer is good, its report is not
        {"a.3 done 18 =1\nv", true, Outcome::served, 0, "v"},
        {"a.3 done 18 \nv", true, Outcome::served, 0, "v"},
        {"", false, {}, 0, ""},
    };
    for (const auto& c : cases) {
        const auto result = backend::readResult(c.rest);
        CHECK(result.has_value() == c.good);
        if (result)
            CHECK(result->id == "a.3" && result->outcome == c.outcome && result->load.size() == c.loads &&
                  result->value == c.value);
    }
}

void hostLists() {
    Clock clock;
    clock.setUnixAtStart(5000);
    const std::string entry =
        R"({"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a","cell":3,"lifecycle":"Ready","startedAtMs":4000})";
    const auto l =
        discovery::parseListing(R"({"generation":4,"reset":true,"instances":[)" + entry + "]}", clock);
    CHECK(l.generation == 4 && l.list.kind == coordinator::ListKind::complete && l.list.entries.size() == 1);
    // Started one second before this program: still after the clock's origin, or it would count as warm.
    CHECK(l.list.entries[0].entry.startedAt == toNanos(Clock::kOrigin - 1000));
    const char* bad[] = {
        "",
        "[]",
        "{}",
        R"({"generation":1,"reset":true})",
        R"({"generation":"1","reset":true,"instances":[]})",
        R"({"generation":1,"reset":true,"instances":[7]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s"}]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s","lifecycle":"Odd"}]})",
        R"({"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"a","cell":-1,"lifecycle":"Ready"}]})"};
    for (const char* text : bad) {
        bool refused = false;
        try {
            discovery::parseListing(text, clock);
        } catch (const discovery::BadList&) {
            refused = true;
        }
        CHECK(refused);
    }
    for (const char* address : {"", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"})
        CHECK(!backend::readEndpoint(address));
}

void platformRequests() {
    const auto read = [](const std::string& bytes) -> std::string {
        net::Buffer buffer;
        fill(buffer, bytes);
        net::HttpReader reader(net::HttpReader::Kind::request, buffer);
        CHECK(reader.parse() == State::complete);
        try {
            const Request r = frontend::readPlatformRequest(reader.message(), settings(), 100);
            return r.id + " " + r.klass + " " + r.key + " " + std::to_string(static_cast<int>(r.expires));
        } catch (const frontend::BadRequest& e) {
            return std::string("400 ") + e.what();
        }
    };
    CHECK(read(query("t1", {3, 1}, 480)) == "t1 pallet-lookup k1 580");
    const std::string head = "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n";
    const std::string bodies[] = {
        "",
        "[",
        "[]",
        "{}",
        R"({"targets":[],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}]})",
        R"({"targets":[{"partition":4,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":-1,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1.5,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":"1"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.5},{"partition":1,"share":0.5}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.5},{"partition":2,"share":0.4}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":0.9},{"partition":2,"share":0.9}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1.5},{"partition":2,"share":-0.5}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1e999}],"query":"q"})",
        R"({"targets":[{"partition":99999999999999999999,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"share":1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}],"query":"q","query":"r"})",
        R"({"targets":[{"partition":1,"share":1,"est_us":-1}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"est_us":"9"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1,"route":"12"}],"query":"q"})",
        R"({"targets":[{"partition":1,"share":1}],"query":")"
        "\xff"
        R"("})",
        R"({"targets":[{"partition":1,"share":1}],"query":7})",
        R"({"targets":[{"partition":1,"share":1}],"query":"q","x":)" + std::string(30000, '[') +
            std::string(30000, ']') + "}"};
    for (const std::string& body : bodies)
        CHECK(read(post("/pallet-lookup/k", head, body)).starts_with("400"));
    const std::string body = R"({"targets":[{"partition":1,"share":1}],"query":"q"})";
    CHECK(read(post("/pallet-lookup/k", head, body)) == "t pallet-lookup k 109");
    CHECK(
        read(post(
            "/pallet-lookup/k", head,
            R"({"targets":[{"partition":1,"share":0.333,"est_us":9000},{"partition":0,"share":0.333,)"
            R"("route":"c41e77d0c41e77d0"},{"partition":2,"share":0.333}],"query":"q","new":{"a":[1]}})")) ==
        "t pallet-lookup k 109");
    const std::string heads[] = {
        "",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\n",
        "X-Trace-Id: a b\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n",
        "X-Trace-Id: t\r\nX-Qos: other\r\nX-Expires-In-Ms: 9\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9x\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: -9\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: NaN\r\n",
        "X-Trace-Id: t\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 99999999999999999999\r\n",
        "X-Trace-Id: t\r\nX-Trace-Id: u\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n"};
    for (const std::string& h : heads) CHECK(read(post("/pallet-lookup/k", h, body)).starts_with("400"));
}

const frontend::SearchSettings kSearch{{{"pallets", "pallet-lookup"}}, 24};

void searches() {
    const auto read = [](const std::string& body, const std::string& url = "",
                         const std::string& index = "pallets") {
        try {
            const frontend::Search s =
                frontend::readSearch(index, body, frontend::readParameters(url), kSearch);
            std::string slices;
            for (const int slice : s.slices) slices += "," + std::to_string(slice);
            return std::to_string(s.from) + "+" + std::to_string(s.size) + " " +
                   std::to_string(static_cast<int>(s.timeout)) + (s.slices.size() < 24 ? slices : " all") +
                   " " + s.text;
        } catch (const frontend::SearchError& e) {
            return std::to_string(e.status) + " " + e.what();
        }
    };
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
        if (!got.starts_with(c.expected)) std::fprintf(stderr, "got: %s\n", got.c_str());
        CHECK(got.starts_with(c.expected));
    }
    CHECK(read("", "", "none").starts_with("404 no such index"));
    const std::string routed = read("", "routing=k17");
    CHECK(routed.starts_with("0+10 0," + std::to_string(frontend::sliceOf("k17", 24)) + " "));

    // The published figures of the hash, by way of an index of 1024 slices, whose number is the hash's low
    // end.
    const std::pair<const char*, std::uint32_t> hashes[] = {{"hell", 0x5a0cb7c3u},
                                                            {"hello", 0xd7c31989u},
                                                            {"hello w", 0x22ab2984u},
                                                            {"hello wo", 0xdf0ca123u},
                                                            {"hello wor", 0xe7744d61u}};
    for (const auto& [word, hash] : hashes)
        CHECK(frontend::sliceOf(word, 1024) == static_cast<int>(hash & 1023u));

    const auto multi = [](const std::string& body) {
        try {
            return static_cast<int>(frontend::readMultiSearch("", body, {}, kSearch).size());
        } catch (const frontend::SearchError& e) {
            return -e.status;
        }
    };
    CHECK(multi("{\"index\":\"pallets\"}\n{}\n{\"index\":\"pallets\",\"preference\":\"_shards:1\"}\n{}\n") ==
          2);
    CHECK(multi("{\"index\":\"pallets\"}\n{}") == -400);
    CHECK(multi("{\"index\":\"pallets\"}\n") == -400);
    CHECK(multi("{\"index\":\"pallets\"}\n{}\n{\"index\":\"pallets\"}\n{\"aggs\":{}}\n") == -400);
    CHECK(multi("{\"index\":\"none\"}\n{}\n") == -404);
    CHECK(multi("") == -400);
}

std::string slice(const std::string& hits) {
    return R"({"timed_out":false,"_shards":{"failed":0},"hits":{"total":{"value":9,"relation":"eq"},"hits":[)" +
           hits + "]}}";
}

void merges() {
    frontend::Search s;
    s.slices = {2, 0};
    s.size = 3;
    const auto merge = [&](const std::string& two, const std::string& zero) -> std::string {
        Final final;
        final.parts = {{0, zero}, {2, two}};
        try {
            const std::string body = frontend::mergedBody(s, final, 7);
            CHECK(nlohmann::json::accept(body));
            return body;
        } catch (const frontend::SearchError& e) {
            return std::to_string(e.status);
        }
    };
    // By score; equal ones in the order of the slices; every byte of a hit as it came.
    const std::string a = R"({"_id":"a","_score":1.50,"n":1e2})", b = R"({"_id":"b","_score":2})",
                      c = R"({"_id":"c","_score":1.5})", d = R"({"_id":"d","_score":0.1})";
    std::string body = merge(slice(a), slice(b + "," + c + "," + d));
    CHECK(body.find("[" + b + "," + a + "," + c + "]") != std::string::npos);
    CHECK(body.find(R"("total":{"value":18,"relation":"eq"})") != std::string::npos);
    CHECK(body.find(R"("_shards":{"total":2,"successful":2,"skipped":0,"failed":0})") != std::string::npos);
    s.from = 1;
    s.size = 1;
    CHECK(merge(slice(a), slice(b)).find("[" + a + "]") != std::string::npos);
    s.from = 0;
    s.size = 3;
    s.sort = {{"n", true, false}, {"m", false, false}};
    const std::string e = R"({"_id":"e","sort":[5,"x"]})", f = R"({"_id":"f","sort":[5,"a"]})",
                      g = R"({"_id":"g","sort":[null,"a"]})";
    CHECK(merge(slice(g + "," + e), slice(f)).find("[" + f + "," + e + "," + g + "]") != std::string::npos);
    CHECK(merge(slice(a), slice(e)) == "503");  // no sort values: its place can't be told
    s.sort.clear();
    for (const char* broken : {"", "[]", "{}", R"({"hits":{"hits":{}}})", R"({"hits":{"hits":[1]}})"})
        CHECK(merge(broken, slice(b)) == "503");
    Final missing;  // a slice that is not there is never passed over
    missing.parts = {{0, "{}"}};
    bool refused = false;
    try {
        frontend::mergedBody(s, missing, 0);
    } catch (const frontend::SearchError&) {
        refused = true;
    }
    CHECK(refused);
    const std::string error =
        frontend::searchErrorBody({404, "index_not_found_exception", "no such index [x]"});
    CHECK(error.find(R"("root_cause":[{"reason":"no such index [x]","type":"index_not_found_exception"}])") !=
          std::string::npos);
    CHECK(error.find(R"("status":404)") != std::string::npos);
}

void searchOutcomes() {
    const struct {
        int status;
        std::string body;
        Outcome outcome;
    } cases[] = {
        {200, slice(""), Outcome::served},
        {429, "", Outcome::turnedAway},
        {503, slice(""), Outcome::error},
        {200, "", Outcome::error},
        {200, R"({"timed_out":true,"_shards":{"failed":0},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{"failed":1},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{},"hits":{"hits":[]}})", Outcome::error},
        {200, R"({"timed_out":false,"_shards":{"failed":0},"hits":{}})", Outcome::error},
        {200, R"({"timed_out":false,"terminated_early":true,"_shards":{"failed":0},"hits":{"hits":[]}})",
         Outcome::error},
    };
    for (const auto& c : cases) CHECK(backend::searchOutcome(c.status, c.body) == c.outcome);
}

void operatorFiles() {
    const auto good = [](const std::string& text) {
        Config config;
        config.settings = settings();
        try {
            readOperator(text, config);
        } catch (const BadConfig&) {
            return false;
        }
        return true;
    };
    CHECK(good("{}"));
    CHECK(good(R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{"p":"pallet-lookup"}}})"));
    for (const char* bad : {"", "[]", R"({"odd":{}})", R"({"opensearch":{}})", R"({"opensearch":7})",
                            R"({"opensearch":{"listen":"x","indexes":{}}})",
                            R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{"p":"none"}}})",
                            R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{},"trackHosts":"odd"}})"})
        CHECK(!good(bad));
    bool refused = false;
    try {
        readConfig("{\"name\":\"n\"}", Clock());
    } catch (const BadConfig& e) {
        refused = std::string(e.what()) == "key listen is missing";
    }
    CHECK(refused);
}

}  // namespace

int main() {
    httpRequests();
    bufferUnderARead();
    frames();
    hostLists();
    platformRequests();
    searches();
    merges();
    searchOutcomes();
    operatorFiles();
}
