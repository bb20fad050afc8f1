// The query API on real sockets, and the same 10,000 queries through both protocols.
#include <nlohmann/json.hpp>

#include "check.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using Json = nlohmann::json;

namespace {

constexpr int kQueries = 10'000;
constexpr int kClients = 12;
constexpr int kSettled = 500;  // queries before the first trouble: the module has seen its hosts by then
constexpr Millis kSilentWait = 400;  // what a client waits for a query that nobody answers
constexpr Millis kSlack = 50;

void searchOn(Config& c) {
    c.search = Config::Search{kAnyPort, {{"pallets", "pallet-lookup"}, {"reports", "day-report"}}};
    c.searchTrackHosts = true;
}

std::string search(const std::string& target, const std::string& body) {
    return post(target, "Content-Type: application/json\r\n", body);
}

// What a sound track host knows of a query in one slice.
std::string hitsOf(int n, int slice) {
    const int score = 1 + (n * 7 + slice * 13) % 10;
    return fmt::format(
        R"({{"took":1,"timed_out":false,"_shards":{{"total":1,"successful":1,"skipped":0,"failed":0}},"hits":)"
        R"({{"total":{{"value":1,"relation":"eq"}},"max_score":{0}.5,"hits":[{{"_id":"{1}-{2}","_score":{0}.5}}]}}}})",
        score, n, slice);
}
int numberIn(const std::string& text) {
    const auto at = text.find("\"n\":");
    return at == std::string::npos ? -1 : std::stoi(text.substr(at + 4));
}
int sliceIn(const std::string& target) { return std::stoi(target.substr(target.find("_shards:") + 8)); }

struct SearchHosts {
    HttpHost a{Rig::loop()}, b{Rig::loop()};
    std::vector<std::string> addresses() { return {a.address(), b.address()}; }
    void onAsk(const std::function<void(const HttpHost::Ask&)>& f) { a.onAsk = b.onAsk = f; }
};

void onePath() {
    SearchHosts hosts;
    hosts.onAsk(
        [](const HttpHost::Ask& ask) { ask.answer(200, hitsOf(numberIn(ask.body), sliceIn(ask.target))); });
    Rig rig(hosts.addresses(), searchOn);
    Client client(rig.io, rig.gatherer->searchEndpoint());
    const std::string body = R"({"size":2,"query":{"term":{"n":4}}})";
    const Answer all = client.ask(search("/pallets/_search", body));
    CHECK(all.status == 200 && all.has(R"("total":{"value":4,"relation":"eq"})"));
    CHECK(Json::parse(all.body)["hits"]["hits"].size() == 2);
    const Answer two = client.ask(search("/pallets/_search?preference=_shards:3,1&timeout=700ms", body));
    CHECK(two.has(R"("_shards":{"total":2,"successful":2,"skipped":0,"failed":0})"));
    for (const HttpHost* h : {&hosts.a, &hosts.b})
        for (const std::string& target : h->targets)
            CHECK(target.starts_with("/pallets/_search?preference=_shards:") &&
                  target.find("allow_partial_search_results=false&timeout=") != std::string::npos);
    const std::string both =
        "{\"index\":\"pallets\"}\n{}\n{\"index\":\"reports\",\"preference\":\"_shards:2\"}\n{}\n";
    const Json many = Json::parse(client.ask(search("/_msearch", both)).body);
    CHECK(many["responses"].size() == 2 && many["responses"][1]["status"] == 200);

    const std::uint64_t sent = rig.count(Counter::attemptsSent);
    const std::pair<std::string, int> bad[] = {
        {search("/pallets/_search", "{"), 400},
        {search("/pallets/_search", R"({"aggs":{}})"), 400},
        {search("/none/_search", "{}"), 404},
        {search("/pallets/_count", "{}"), 404},
        {search("/_msearch", both + "{}\n{\"aggs\":{}}\n"), 404},
        {"PUT /pallets/_search HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405}};
    for (const auto& [bytes, status] : bad) {
        const Answer answer = client.ask(bytes);
        const Json error = Json::parse(answer.body);
        CHECK(answer.status == status && error["status"] == status);
        CHECK(error["error"]["root_cause"][0]["type"] == error["error"]["type"]);
    }
    CHECK(rig.count(Counter::attemptsSent) == sent);  // nothing of these was sent anywhere
}

void neverPartly() {
    SearchHosts hosts;
    // One slice is always short: its 200s are none.
    const std::string shorts[] = {R"({"timed_out":true,"_shards":{"failed":0},"hits":{"hits":[]}})",
                                  R"({"timed_out":false,"_shards":{"failed":1},"hits":{"hits":[]}})"};
    int n = 0;
    hosts.onAsk([&](const HttpHost::Ask& ask) {
        ask.answer(200, sliceIn(ask.target) == 1 ? shorts[n++ % 2] : hitsOf(1, sliceIn(ask.target)));
    });
    Rig rig(hosts.addresses(), searchOn);
    Client client(rig.io, rig.gatherer->searchEndpoint());
    const Answer answer = client.ask(search("/pallets/_search", "{}"));
    CHECK(answer.status == 429 && answer.has("rejected_execution_exception") && answer.has("Retry-After: 1"));
    CHECK(!answer.has("_id"));
}

void endsInTime() {
    SearchHosts hosts;  // silent
    Rig rig(hosts.addresses(), [](Config& c) {
        searchOn(c);
        c.settings.openCap = 6;
    });
    Client client(rig.io, rig.gatherer->searchEndpoint()), other(rig.io, rig.gatherer->searchEndpoint());
    const Millis began = rig.clock.now();
    client.send(search("/pallets/_search?timeout=300ms", "{}"));
    until(rig.io, [&] { return rig.gatherer->exchange().live() == 1; });
    CHECK(other.ask(search("/pallets/_search", "{}")).status == 429);  // over the cap
    until(rig.io, [&] { return client.answers.size() == 1; });
    CHECK(client.answers[0].status == 504 && client.answers[0].has("timeout_exception"));
    CHECK(rig.clock.now() - began <= 350);
    // A longer time than the class's changes nothing.
    CHECK(client.ask(search("/pallets/_search?timeout=1h", "{}")).status == 504);
    CHECK(rig.clock.now() - began < 2000);
}

// ---- both protocols

enum class Kind { sound, malformed, failsOnce, silent };

Kind kindOf(int n) {
    if (n % 100 == 7) return Kind::malformed;
    if (n < kSettled) return Kind::sound;
    if (n % 97 == 13) return Kind::failsOnce;
    return n % 500 == 11 ? Kind::silent : Kind::sound;
}
std::vector<int> slicesOf(int n) { return n % 3 == 0 ? std::vector{n % 4} : std::vector{n % 4, (n + 1) % 4}; }

struct Seen {
    int status = 0;
    bool inTime = false;
    std::set<std::string> ids;
    bool operator==(const Seen&) const = default;
};

// Plays all queries over a few connections; `ask` writes one, `read` takes its answer apart.
template <class Ask, class Read>
std::vector<Seen> play(Rig& rig, const tcp::endpoint& to, Ask ask, Read read) {
    std::vector<Seen> seen(kQueries);
    std::vector<std::unique_ptr<Client>> clients;
    int next = 0, done = 0;
    std::vector<int> current(kClients);
    std::vector<Millis> began(kClients);
    const auto send = [&](std::size_t c) {
        if (next == kQueries) return;
        current[c] = next++;
        began[c] = rig.clock.now();
        clients[c]->send(ask(current[c]));
    };
    for (std::size_t c = 0; c < kClients; ++c) {
        clients.push_back(std::make_unique<Client>(rig.io, to));
        clients[c]->onAnswer = [&, c](const Answer& answer) {
            Seen& s = seen[static_cast<std::size_t>(current[c])];
            s.status = answer.status;
            const bool silent = kindOf(current[c]) == Kind::silent;
            s.inTime = rig.clock.now() - began[c] <= (silent ? kSilentWait : 1200) + kSlack;
            if (answer.status == 200) s.ids = read(answer);
            ++done;
            send(c);
        };
    }
    for (std::size_t c = 0; c < kClients; ++c) send(c);
    for (int before = -1; done < kQueries; before = done)
        until(rig.io, [&] { return done == kQueries || done >= before + 1000; });
    return seen;
}

void sameThroughBoth() {
    std::map<int, int> failed;  // by query: whether its first attempt has failed
    const auto behaviour = [&](int n) {
        const Kind kind = kindOf(n);
        if (kind == Kind::failsOnce) return failed[n]++ == 0 ? 'f' : 'd';
        return kind == Kind::silent ? 's' : 'd';
    };
    const auto bodyOf = [](int n) {
        return kindOf(n) == Kind::malformed ? std::string("{\"query\":")
                                            : fmt::format(R"({{"query":{{"term":{{"n":{}}}}}}})", n);
    };

    FrameHost frameA(Rig::loop()), frameB(Rig::loop());
    frameA.onPart = frameB.onPart = [&](const FrameHost::Part& p) {
        const int n = numberIn(p.text);
        const char how = behaviour(n);
        if (how != 's') p.answer(how == 'f' ? "failed" : "done", how == 'f' ? "" : hitsOf(n, p.slice));
    };
    Rig platform({frameA.address(), frameB.address()});
    const std::vector<Seen> one = play(
        platform, platform.gatherer->endpoint(),
        [&](int n) {
            const int wait = kindOf(n) == Kind::silent ? static_cast<int>(kSilentWait) : 3000;
            const std::string text = Json(bodyOf(n)).dump();
            const std::string whole =
                query(fmt::format("t{}", n), slicesOf(n), wait, text.substr(1, text.size() - 2));
            if (kindOf(n) != Kind::malformed) return whole;
            return post("/pallet-lookup/k",
                        fmt::format("X-Trace-Id: t{}\r\nX-Qos: pallet-lookup\r\nX-Expires-In-Ms: 9\r\n", n),
                        "{\"query\":");
        },
        [](const Answer& answer) {
            std::set<std::string> ids;
            const Json body = Json::parse(answer.body);
            for (const Json& part : body["results"]) {
                const Json value = Json::parse(part["value"].get<std::string>());
                for (const Json& hit : value["hits"]["hits"]) ids.insert(hit["_id"]);
            }
            return ids;
        });

    failed.clear();
    SearchHosts hosts;
    hosts.onAsk([&](const HttpHost::Ask& ask) {
        const int n = numberIn(ask.body);
        const char how = behaviour(n);
        if (how != 's')
            ask.answer(how == 'f' ? 500 : 200, how == 'f' ? "{}" : hitsOf(n, sliceIn(ask.target)));
    });
    Rig searching(hosts.addresses(), searchOn);
    const std::vector<Seen> two = play(
        searching, searching.gatherer->searchEndpoint(),
        [&](int n) {
            std::string slices;
            for (const int s : slicesOf(n)) slices += (slices.empty() ? "" : ",") + std::to_string(s);
            const std::string wait =
                kindOf(n) == Kind::silent ? fmt::format("&timeout={}ms", static_cast<int>(kSilentWait)) : "";
            return search("/pallets/_search?preference=_shards:" + slices + wait, bodyOf(n));
        },
        [](const Answer& answer) {
            std::set<std::string> ids;
            double before = 1e9;
            const Json body = Json::parse(answer.body);
            for (const Json& hit : body["hits"]["hits"]) {
                CHECK(hit["_score"] <= before);
                before = hit["_score"];
                ids.insert(hit["_id"]);
            }
            return ids;
        });

    for (int n = 0; n < kQueries; ++n) {
        const Seen& a = one[static_cast<std::size_t>(n)];
        Seen b = two[static_cast<std::size_t>(n)];
        const Kind kind = kindOf(n);
        // The platform has one word for "not in time, ask again"; the query API has its own status for it.
        if (kind == Kind::silent) {
            CHECK(a.status == 429 && b.status == 504);
            b.status = 429;
        }
        if (!(a == b)) std::fprintf(stderr, "query %d: %d and %d\n", n, a.status, b.status);
        CHECK(a == b && a.inTime);
        CHECK(a.status == (kind == Kind::malformed ? 400 : kind == Kind::silent ? 429 : 200));
        if (a.status == 200) CHECK(a.ids.size() == slicesOf(n).size());
    }
    CHECK(platform.count(Counter::answeredWhole) == searching.count(Counter::answeredWhole));
}

}  // namespace

int main() {
    onePath();
    neverPartly();
    endsInTime();
    sameThroughBoth();
}
