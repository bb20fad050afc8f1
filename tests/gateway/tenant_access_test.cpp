// Whose requests a gateway serves: keys of tenants, and changes to them, met by clients and hosts of the test.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_fixture.hpp"

namespace beechpoint::gateway {
namespace {

constexpr const char* kTenants =
    R"([{"name":"alder","api_keys":["k-alder-1","k-alder-2"]},{"name":"birch","api_keys":["k-birch"]}])";
constexpr const char* kBirchOnly =
    R"([{"name":"alder","api_keys":[]},{"name":"birch","api_keys":["k-birch"]}])";
constexpr const char* kAlderWithoutFirstKey =
    R"([{"name":"alder","api_keys":["k-alder-2"]},{"name":"birch","api_keys":["k-birch"]}])";

std::string bearing(std::string_view key) { return fmt::format("Authorization: Bearer {}\r\n", key); }

// The lines of a field, whatever the case of its name.
std::vector<std::string> fieldValues(const std::string& request, std::string name) {
    std::vector<std::string> values;
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t headEnd = request.find("\r\n\r\n");
    for (std::size_t at = request.find("\r\n"); at < headEnd; at = request.find("\r\n", at + 2)) {
        std::string line = request.substr(at + 2, request.find("\r\n", at + 2) - at - 2);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::transform(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), line.begin(),
                       ::tolower);
        if (line.substr(0, colon) == name)
            values.push_back(line.substr(line.find_first_not_of(' ', colon + 1)));
    }
    return values;
}

class TenantAccessTest : public GatewayTest {
protected:
    TenantAccessTest() {
        control.table["member/tenants"] = kTenants;
        answerAll(host, seen);
    }
    static void answerAll(ScriptedHost& at, std::vector<std::string>& requests) {
        at.onRequest = [&requests](Peer& peer) {
            if (!peer.has("\r\n\r\nhi")) return;
            requests.push_back(peer.got);
            peer.got.clear();
            answer(peer, requests.back());
        };
    }
    static void answer(Peer& peer, const std::string& request) {
        peer.send(fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok",
            fieldValues(request, "X-Attempt-Id").at(0)));
    }
    // The head and body of the answer to one request.
    std::string answerTo(const std::string& path, const std::string& headers) {
        const PeerPtr client = ask(path, fmt::format("t{}", ++asked_), headers);
        EXPECT_TRUE(until(io, [&] { return client->ended || client->has("\r\n\r\n"); }));
        runReadyHandlers(io);
        return client->got;
    }
    // Asks and expects that no host has run it and that the client has been told how to authenticate.
    void expectUnauthorized(const std::string& path, const std::string& headers) {
        expectRefused(path, headers, "HTTP/1.1 401", "WWW-Authenticate: Bearer");
    }
    // The same where the key may be that of a tenant that could not be read: the client may come back.
    void expectNotKnownYet(const std::string& path, const std::string& headers) {
        expectRefused(path, headers, "HTTP/1.1 503", "Retry-After: ");
    }
    void expectRefused(const std::string& path, const std::string& headers, const std::string& status,
                       const std::string& field) {
        const std::size_t before = seen.size() + host.requests;
        const std::string got = answerTo(path, headers);
        EXPECT_EQ(got.substr(0, 12), status) << path << " with " << headers;
        EXPECT_NE(got.find(field), std::string::npos) << got;
        EXPECT_EQ(got.find("X-Server-Seal"), std::string::npos) << got;
        EXPECT_EQ(seen.size() + host.requests, before) << "a host was sent " << path << " with " << headers;
    }
    // Asks and expects that a host has run it for the tenant, without the key.
    void expectServedFor(const std::string& tenant, const std::string& path, const std::string& headers) {
        const std::size_t before = seen.size();
        const std::string got = answerTo(path, headers);
        EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200") << path << " with " << headers;
        ASSERT_EQ(seen.size(), before + 1);
        EXPECT_EQ(fieldValues(seen.back(), "X-Tenant-Name"), std::vector<std::string>{tenant});
        EXPECT_TRUE(fieldValues(seen.back(), "Authorization").empty()) << seen.back();
        EXPECT_EQ(seen.back().find("k-"), std::string::npos) << "a key has reached the host: " << seen.back();
    }
    std::string metrics() {
        const PeerPtr client = connectTo(io, gateway->readinessEndpoint());
        client->send("GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(until(io, [&] { return client->ended; }));
        return client->got;
    }
    // Asks on a connection that is kept, and waits for the answer's head.
    void askOn(const PeerPtr& client, const std::string& id, const std::string& headers) {
        client->got.clear();
        client->send(
            fmt::format("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {}\r\n"
                        "X-Deadline-Remaining: 4000\r\n{}Content-Length: 2\r\n\r\nhi",
                        id, headers));
        ASSERT_TRUE(until(io, [&] { return client->ended || client->has("\r\n\r\n"); }));
    }

    std::vector<std::string> seen;

private:
    int asked_ = 0;
};

TEST_F(TenantAccessTest, RouteRequestWithAnUnknownKeyIsNotRun) {
    start();
    expectUnauthorized("/p/x", bearing("k-nobody"));
    expectUnauthorized("/s/x", bearing("k-alder"));     // begins a key
    expectUnauthorized("/e/x", bearing("k-alder-11"));  // is begun by one
    expectUnauthorized("/r/x", bearing("K-ALDER-1"));
}

TEST_F(TenantAccessTest, RouteRequestWithoutAKeyIsNotRun) {
    start();
    for (const char* path : {"/p/x", "/s/x", "/e/x", "/r/x"}) expectUnauthorized(path, "");
}

TEST_F(TenantAccessTest, RouteRequestWithAnEmptyKeyIsNotRun) {
    control.table["member/tenants"] = R"([{"name":"alder","api_keys":["","k-alder-1"]}])";
    start();
    for (const char* header : {"Authorization:\r\n", "Authorization: \r\n", "Authorization: Bearer\r\n",
                               "Authorization: Bearer \r\n", "Authorization: Bearer \t \r\n"})
        expectUnauthorized("/p/x", header);
}

TEST_F(TenantAccessTest, RouteRequestWithAnotherSchemeIsNotRun) {
    start();
    for (const char* header :
         {"Authorization: Basic k-birch\r\n", "Authorization: k-birch\r\n",
          "Authorization: Bearerk-birch\r\n", "Authorization: Token k-birch\r\n",
          "Authorization: Bearer: k-birch\r\n", "Authorization: Bearer k-birch extra\r\n",
          "Authorization: Bearer k-birch, Bearer k-alder-1\r\n", "Authorization: Bearer \"k-birch\"\r\n",
          "X-Authorization: Bearer k-birch\r\n", "Proxy-Authorization: Bearer k-birch\r\n"})
        expectUnauthorized("/p/x", header);
}

TEST_F(TenantAccessTest, RouteRequestWithSeveralAuthorizationFieldsIsNotRun) {
    start();
    expectUnauthorized("/p/x", bearing("k-birch") + bearing("k-alder-1"));
    expectUnauthorized("/p/x", bearing("k-birch") + bearing("k-birch"));
    expectUnauthorized("/p/x", bearing("k-birch") + "authorization: Basic x\r\n");
    expectUnauthorized("/p/x", "Authorization:\r\n" + bearing("k-birch"));
}

TEST_F(TenantAccessTest, RouteUnauthorizedRequestLeavesTheConnectionUsable) {
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    askOn(client, "c1", bearing("k-nobody"));
    EXPECT_TRUE(client->has("HTTP/1.1 401")) << client->got;
    askOn(client, "c2", bearing("k-birch"));
    EXPECT_TRUE(client->has("HTTP/1.1 200")) << client->got;
    askOn(client, "c3", "");
    EXPECT_TRUE(client->has("HTTP/1.1 401")) << client->got;
    EXPECT_EQ(seen.size(), 1u);
}

TEST_F(TenantAccessTest, ConfigKnownKeyIsServedWhateverTheCaseOfTheScheme) {
    start();
    expectServedFor("birch", "/p/x", bearing("k-birch"));
    expectServedFor("alder", "/p/x", "authorization: bearer k-alder-1\r\n");
    expectServedFor("alder", "/s/x", "AUTHORIZATION:BEARER k-alder-2\r\n");
    expectServedFor("alder", "/p/x", "Authorization: \t bEaReR \t k-alder-2 \t\r\n");
}

TEST_F(TenantAccessTest, UnaskedTenantNameOfTheClientIsReplaced) {
    start();
    expectServedFor("birch", "/p/x", bearing("k-birch") + "X-Tenant-Name: alder\r\n");
    expectServedFor("birch", "/p/x", "x-tenant-name: alder\r\nX-TENANT-NAME: elm\r\n" + bearing("k-birch"));
}

TEST_F(TenantAccessTest, UnaskedConnectionOptionsDoNotHideTheKeyOrTheTenant) {
    start();
    expectServedFor("birch", "/p/x", bearing("k-birch") + "Connection: X-Tenant-Name, Authorization\r\n");
    expectUnauthorized("/p/x", bearing("k-nobody") + "Connection: Authorization\r\n");
}

TEST_F(TenantAccessTest, UnaskedSuccessiveKeysOnOneConnectionAreEachTheirTenants) {
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    const std::vector<std::pair<const char*, const char*>> turns = {
        {"k-alder-1", "alder"}, {"k-birch", "birch"}, {"k-alder-2", "alder"}, {"k-birch", "birch"}};
    for (const auto& [key, tenant] : turns) {
        askOn(client, fmt::format("c{}", seen.size()), bearing(key));
        ASSERT_TRUE(client->has("HTTP/1.1 200")) << client->got;
        EXPECT_EQ(fieldValues(seen.back(), "X-Tenant-Name"), std::vector<std::string>{tenant});
    }
}

TEST_F(TenantAccessTest, ConfigPublicRouteNeedsNoKey) {
    addRoute("open", "/o/", R"("type":"non_idempotent","max_attempts":1,"public":true)");
    addRoute("closed", "/c/", R"("type":"non_idempotent","max_attempts":1,"public":false)");
    start();
    for (const std::string& headers :
         {std::string(), bearing("k-nobody"), bearing("k-birch") + bearing("k-birch"),
          std::string("Authorization: Basic x\r\n"), std::string("X-Tenant-Name: alder\r\n")}) {
        const std::size_t before = seen.size();
        EXPECT_EQ(answerTo("/o/x", headers).substr(0, 12), "HTTP/1.1 200") << headers;
        ASSERT_EQ(seen.size(), before + 1);
        EXPECT_TRUE(fieldValues(seen.back(), "X-Tenant-Name").empty()) << seen.back();
        EXPECT_TRUE(fieldValues(seen.back(), "Authorization").empty()) << seen.back();
    }
    expectServedFor("birch", "/o/x", bearing("k-birch"));
    expectUnauthorized("/c/x", "");
}

TEST_F(TenantAccessTest, ConfigRouteThatIsNoLongerPublicNeedsAKey) {
    addRoute("open", "/o/", R"("type":"non_idempotent","max_attempts":1,"public":true)");
    start();
    EXPECT_EQ(answerTo("/o/x", "").substr(0, 12), "HTTP/1.1 200");
    addRoute("open", "/o/", R"("type":"non_idempotent","max_attempts":1)");
    publish();
    expectUnauthorized("/o/x", "");
}

TEST_F(TenantAccessTest, ConfigUnknownRouteIsNotFoundWhateverTheKey) {
    start();
    for (const std::string& headers : {std::string(), bearing("k-nobody"), bearing("k-birch")})
        EXPECT_EQ(answerTo("/nowhere", headers).substr(0, 12), "HTTP/1.1 404") << headers;
    EXPECT_EQ(seen.size(), 0u);
}

TEST_F(TenantAccessTest, ConfigKeyTakenAwayIsRefusedOnAKeptConnection) {
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    askOn(client, "c1", bearing("k-alder-1"));
    ASSERT_TRUE(client->has("HTTP/1.1 200")) << client->got;
    control.table["member/tenants"] = kAlderWithoutFirstKey;
    publish();
    askOn(client, "c2", bearing("k-alder-1"));
    EXPECT_TRUE(client->has("HTTP/1.1 401")) << client->got;
    askOn(client, "c3", bearing("k-alder-2"));
    EXPECT_TRUE(client->has("HTTP/1.1 200")) << client->got;
    EXPECT_EQ(seen.size(), 2u);
}

TEST_F(TenantAccessTest, ConfigAllKeysOfATenantTakenAwayAreRefused) {
    start();
    expectServedFor("alder", "/p/x", bearing("k-alder-1"));
    control.table["member/tenants"] = kBirchOnly;
    publish();
    expectUnauthorized("/p/x", bearing("k-alder-1"));
    expectUnauthorized("/p/x", bearing("k-alder-2"));
    expectServedFor("birch", "/p/x", bearing("k-birch"));
}

TEST_F(TenantAccessTest, ConfigKeyAddedIsServed) {
    control.table["member/tenants"] = kAlderWithoutFirstKey;
    start();
    expectUnauthorized("/p/x", bearing("k-alder-1"));
    control.table["member/tenants"] = kTenants;
    publish();
    expectServedFor("alder", "/p/x", bearing("k-alder-1"));
}

TEST_F(TenantAccessTest, UnaskedKeyPassedOnIsItsNewTenants) {
    start();
    expectServedFor("birch", "/p/x", bearing("k-birch"));
    control.table["member/tenants"] =
        R"([{"name":"alder","api_keys":["k-birch"]},{"name":"birch","api_keys":[]}])";
    publish();
    expectServedFor("alder", "/p/x", bearing("k-birch"));
}

TEST_F(TenantAccessTest, ConfigKeySharedByTwoTenantsServesNeither) {
    control.table["member/tenants"] =
        R"([{"name":"alder","api_keys":["k-both","k-alder-1"]},{"name":"birch","api_keys":["k-both"]}])";
    start();
    expectUnauthorized("/p/x", bearing("k-both"));
    expectServedFor("alder", "/p/x", bearing("k-alder-1"));
}

TEST_F(TenantAccessTest, ConfigEmptyListOfTenantsServesNobody) {
    control.table["member/tenants"] = "[]";
    start();
    expectUnauthorized("/p/x", bearing("k-birch"));
    expectUnauthorized("/p/x", "");
}

TEST_F(TenantAccessTest, ConfigUnreadableListOfTenantsServesNobody) {
    for (const char* unreadable :
         {"", "{", "17", R"({"name":"birch","api_keys":["k-birch"]})", R"("k-birch")"}) {
        control.table["member/tenants"] = unreadable;
        if (gateway)
            publish();
        else
            start();
        expectNotKnownYet("/p/x", bearing("k-birch"));
        expectUnauthorized("/p/x", "");
    }
    control.table["member/tenants"] = kTenants;
    publish();
    expectServedFor("birch", "/p/x", bearing("k-birch"));
}

TEST_F(TenantAccessTest, ConfigUnreadableTenantLeavesTheOthersServed) {
    control.table["member/tenants"] =
        R"([{"api_keys":["k-nameless"]},{"name":"elm","api_keys":"k-elm"},7,{"name":"birch","api_keys":["k-birch"]}])";
    start();
    expectNotKnownYet("/p/x", bearing("k-nameless"));
    expectNotKnownYet("/p/x", bearing("k-elm"));
    expectServedFor("birch", "/p/x", bearing("k-birch"));
}

// Without tenants no key is asked for; a name that the client made up still reaches no host.
TEST_F(TenantAccessTest, ConfigTenantsRemovedFromTheConfigurationNeedNoKey) {
    start();
    expectUnauthorized("/p/x", "");
    control.table.erase("member/tenants");
    publish();
    for (const std::string& headers :
         {std::string(), bearing("k-nobody"), std::string("X-Tenant-Name: alder\r\n")}) {
        EXPECT_EQ(answerTo("/p/x", headers).substr(0, 12), "HTTP/1.1 200") << headers;
        EXPECT_TRUE(fieldValues(seen.back(), "X-Tenant-Name").empty()) << seen.back();
    }
    control.table["member/tenants"] = kTenants;
    publish();
    expectUnauthorized("/p/x", "");
}

TEST_F(TenantAccessTest, ConfigOlderTableDoesNotBringARevokedKeyBack) {
    start();
    control.table["member/tenants"] = kAlderWithoutFirstKey;
    publish();
    expectUnauthorized("/p/x", bearing("k-alder-1"));
    control.table["member/tenants"] = kTenants;
    control.number = 1;
    gateway->reload(settings);
    expectUnauthorized("/p/x", bearing("k-alder-1"));
}

TEST_F(TenantAccessTest, ConfigRequestUnderWayIsFinishedAfterItsKeyIsTakenAway) {
    PeerPtr hostSide;
    host.onRequest = [&](Peer& peer) {
        if (!peer.has("\r\n\r\nhi")) return;
        seen.push_back(peer.got);
        peer.got.clear();
        hostSide = peer.shared_from_this();
    };
    start();
    const PeerPtr client = ask("/p/x", "w1", bearing("k-alder-1"));
    ASSERT_TRUE(until(io, [&] { return hostSide != nullptr; }));
    control.table["member/tenants"] = kBirchOnly;
    publish();
    answer(*hostSide, seen.back());
    ASSERT_TRUE(until(io, [&] { return client->ended || client->has("ok"); }));
    EXPECT_TRUE(client->has("HTTP/1.1 200")) << client->got;
    EXPECT_EQ(fieldValues(seen.back(), "X-Tenant-Name"), std::vector<std::string>{"alder"});
}

TEST_F(TenantAccessTest, MetricsTellWhyRequestsWereRefused) {
    addRoute("open", "/o/", R"("type":"non_idempotent","max_attempts":1,"public":true)");
    start();
    answerTo("/p/x", bearing("k-alder-1"));
    answerTo("/o/x", "");
    answerTo("/p/x", "");
    answerTo("/nowhere", bearing("k-alder-1"));
    answerTo("/nowhere", bearing("k-alder-1"));
    control.table["member/tenants"] = kAlderWithoutFirstKey;
    publish();
    answerTo("/p/x", bearing("k-alder-1"));
    answerTo("/p/x", bearing("k-alder-1"));
    for (int i = 0; i < 3; ++i) answerTo("/p/x", bearing("k-nobody"));
    const std::string page = metrics();
    for (const char* line :
         {R"(beechpoint_gateway_authorized_total{outcome="tenant"} 1)",
          R"(beechpoint_gateway_authorized_total{outcome="anonymous"} 1)",
          R"(beechpoint_gateway_authorized_total{outcome="unrestricted"} 0)",
          R"(beechpoint_gateway_unauthorized_total{reason="missing_key"} 1)",
          R"(beechpoint_gateway_unauthorized_total{reason="revoked_key"} 2)",
          R"(beechpoint_gateway_unauthorized_total{reason="unknown_key"} 3)",
          "beechpoint_gateway_route_not_found_total 2", "beechpoint_gateway_configuration_revision 5",
          "beechpoint_gateway_configuration_unreadable 0", "beechpoint_gateway_keys_required 1",
          "beechpoint_gateway_tenants 2"})
        EXPECT_NE(page.find(std::string(line) + "\n"), std::string::npos) << line << " in " << page;
    EXPECT_EQ(page.find("k-"), std::string::npos) << "a key is on the page";
}

TEST_F(TenantAccessTest, MetricsTellOfTenantsThatCannotBeReadAndOfNone) {
    control.table["member/tenants"] = "{";
    start();
    std::string page = metrics();
    EXPECT_NE(page.find("beechpoint_gateway_configuration_unreadable 1\n"), std::string::npos) << page;
    EXPECT_NE(page.find("beechpoint_gateway_keys_required 1\n"), std::string::npos) << page;
    control.table.erase("member/tenants");
    publish();
    answerTo("/p/x", bearing("k-nobody"));
    page = metrics();
    EXPECT_NE(page.find("beechpoint_gateway_keys_required 0\n"), std::string::npos) << page;
    EXPECT_NE(page.find(R"(beechpoint_gateway_authorized_total{outcome="unrestricted"} 1)"),
              std::string::npos)
        << page;
}

class TenantRegionsTest : public TenantAccessTest {
protected:
    TenantRegionsTest() {
        addHost("i-2", second, "z2");
        answerAll(second, seenBySecond);
        addRoute("near", "/near/", R"("type":"non_idempotent","max_attempts":2,"allowed_regions":["r1"])");
        control.table["member/tenants"] =
            R"([{"name":"alder","api_keys":["k-alder"],"allowed_regions":["r1"]},)"
            R"({"name":"birch","api_keys":["k-birch"],"allowed_regions":["r2"]},)"
            R"({"name":"elm","api_keys":["k-elm"]},)"
            R"({"name":"fir","api_keys":["k-fir"],"allowed_regions":["r2","r1"]}])";
    }
    long servedOf(int times, const std::string& path, const std::string& key) {
        long served = 0;
        for (int i = 0; i < times; ++i)
            served += answerTo(path, bearing(key)).starts_with("HTTP/1.1 200") ? 1 : 0;
        return served;
    }

    ScriptedHost second{io};
    std::vector<std::string> seenBySecond;
};

TEST_F(TenantRegionsTest, HomeRequestStaysInTheRegionsOfItsTenant) {
    start();
    EXPECT_EQ(servedOf(12, "/p/x", "k-alder"), 12);
    EXPECT_EQ(seenBySecond.size(), 0u);
    EXPECT_EQ(servedOf(12, "/p/x", "k-birch"), 12);
    EXPECT_EQ(seenBySecond.size(), 12u);
    EXPECT_EQ(seen.size(), 12u);
}

TEST_F(TenantRegionsTest, HomeRegionsOfRouteAndTenantBothBind) {
    start();
    for (const char* key : {"k-alder", "k-elm", "k-fir"}) EXPECT_EQ(servedOf(6, "/near/x", key), 6) << key;
    EXPECT_EQ(seenBySecond.size(), 0u);
}

TEST_F(TenantRegionsTest, HomeRequestWithoutACommonRegionReachesNoHost) {
    start();
    const std::string got = answerTo("/near/x", bearing("k-birch"));
    EXPECT_FALSE(got.starts_with("HTTP/1.1 2")) << got;
    EXPECT_TRUE(got.empty() || got.starts_with("HTTP/1.1 503")) << got;
    EXPECT_EQ(seen.size() + seenBySecond.size(), 0u);
}

TEST_F(TenantRegionsTest, HomeRegionsOfATenantThatChangedBind) {
    start();
    EXPECT_EQ(servedOf(6, "/p/x", "k-birch"), 6);
    ASSERT_EQ(seenBySecond.size(), 6u);
    control.table["member/tenants"] = R"([{"name":"birch","api_keys":["k-birch"],"allowed_regions":["r1"]}])";
    publish();
    EXPECT_EQ(servedOf(6, "/p/x", "k-birch"), 6);
    EXPECT_EQ(seenBySecond.size(), 6u);
}

TEST_F(TenantAccessTest, PriorityClassOfTheTenantComesBeforeTheRoutes) {
    control.table["service/llm"] =
        R"(1 {"name":"llm","health_check_path":"/health","max_connections":50,"warmup_s":0,"warmup_per_s":0,)"
        R"("inference_engine":{"capacity":64,"cache_tokens":230413,"kv_token_bytes":327680,)"
        R"("bandwidth_mbps":550000.0,"stride":4,"models":[{"name":"m"}]}})";
    // Three routes of unlike classes; what a host is told for class c is learnt from tenants without a class.
    for (int rank = 0; rank < 3; ++rank)
        control.table[fmt::format("route/rank{}", rank)] = fmt::format(
            R"(1 {{"name":"rank{0}","hostname":"h.example","path_prefix":"/rank{0}/","timeout_ms":5000,)"
            R"("target_latency_ms":800,"priority_class":{0},"backend":"llm","type":"non_idempotent",)"
            R"("max_attempts":1}})",
            rank);
    control.table["member/tenants"] =
        R"([{"name":"none","api_keys":["k-none"]},{"name":"first","api_keys":["k-0"],"priority_class":0},)"
        R"({"name":"last","api_keys":["k-2"],"priority_class":2}])";
    start();
    const auto priorityTold = [&](const std::string& path, const std::string& key) {
        EXPECT_EQ(answerTo(path, bearing(key)).substr(0, 12), "HTTP/1.1 200");
        const auto values = fieldValues(seen.back(), "Priority");
        return values.size() == 1 ? values.front() : fmt::format("{} fields", values.size());
    };
    const std::string first = priorityTold("/rank0/x", "k-none");
    const std::string last = priorityTold("/rank2/x", "k-none");
    EXPECT_NE(first, last);
    EXPECT_NE(first, priorityTold("/rank1/x", "k-none"));
    for (const char* path : {"/rank0/x", "/rank1/x", "/rank2/x"}) {
        EXPECT_EQ(priorityTold(path, "k-0"), first) << path;
        EXPECT_EQ(priorityTold(path, "k-2"), last) << path;
    }
}

}  // namespace
}  // namespace beechpoint::gateway
