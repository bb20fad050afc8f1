// The client's API key and the tenant's name on their way to a host (UNASKED, ROUTE, HOME): whatever a client sends, a host gets
// no key, and the name of the tenant that holds it.
#include <algorithm>
#include <string>
#include <vector>

#include "gateway_fixture.hpp"
#include "net/framing.hpp"

namespace beechpoint::gateway {
namespace {

constexpr const char* kKey = "key-of-alder-4711";
constexpr const char* kOtherKey = "key-of-birch-0815";
constexpr const char* kUnknownKey = "key-of-nobody-1234";
constexpr const char* kTenants =
    R"([{"name":"alder","api_keys":["key-of-alder-4711"]},{"name":"birch","api_keys":["key-of-birch-0815"]}])";
constexpr const char* kSpoofed = "spoofed";

using Values = std::vector<std::string>;

std::string bearer(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

// The values of all fields of that name in the head of a request, in any case.
Values valuesOf(const std::string& request, std::string_view name) {
    Values values;
    const std::string_view head = std::string_view(request).substr(0, request.find("\r\n\r\n") + 2);
    for (std::size_t begin = head.find("\r\n") + 2; begin < head.size();) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string_view line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos && net::sameName(line.substr(0, colon), name))
            values.emplace_back(line.substr(colon + 2));
        begin = end + 2;
    }
    return values;
}

std::string answerTo(const std::string& request, const std::string& status) {
    const Values ids = valuesOf(request, "X-Attempt-Id");
    return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nContent-Length: 2\r\n\r\nok", status,
                       ids.empty() ? std::string() : ids.front());
}

constexpr const char* kServed = "200 OK\r\nX-Server-Seal: s";
constexpr const char* kMisdirected = "421 Misdirected Request\r\nX-Not-Executed: 1";

// No key and no tenant's name from the client; the tenant's name once where it is known.
void expectFromTenant(const std::string& request, const Values& tenant) {
    EXPECT_EQ(valuesOf(request, "X-Tenant-Name"), tenant) << request;
    EXPECT_EQ(valuesOf(request, "Authorization"), Values{}) << request;
    for (const char* withheld : {kKey, kOtherKey, kUnknownKey, kSpoofed})
        EXPECT_EQ(request.find(withheld), std::string::npos) << request;
}

class TenantKeyTest : public GatewayTest {
protected:
    TenantKeyTest() {
        control.table["member/tenants"] = kTenants;
        addRoute("open", "/o/", R"("type":"idempotent","max_attempts":2,"public":true)");
        host.onRequest = second.onRequest = [this](Peer& peer) { serve(peer, kServed); };
    }
    // Records the request and answers it; its body, "hi", may still be to come.
    void serve(Peer& peer, const std::string& status) {
        if (!record(peer)) return;
        peer.send(answerTo(seen.back(), status));
    }
    bool record(Peer& peer) {
        if (!peer.has("hi")) return false;
        seen.push_back(std::exchange(peer.got, {}));
        return true;
    }
    // Asks and waits for the status line.
    std::string statusOf(const std::string& path, const std::string& extra, const std::string& id = "a1") {
        return statusAt(ask(path, id, extra));
    }
    std::string statusAt(const PeerPtr& client) {
        EXPECT_TRUE(until(io, [&] { return client->ended || client->has("\r\n\r\n"); }));
        runReadyHandlers(io);
        return client->got.substr(0, std::string("HTTP/1.1 200").size());
    }
    std::string askAgain(const PeerPtr& client, const std::string& path, const std::string& extra) {
        client->got.clear();
        client->send(
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: again-{}\r\n"
                        "X-Deadline-Remaining: 4000\r\n{}Content-Length: 2\r\n\r\nhi",
                        path, ++again_, extra));
        return statusAt(client);
    }
    void expectServedAs(const std::string& path, const std::string& extra, const Values& tenant) {
        seen.clear();
        EXPECT_EQ(statusOf(path, extra), "HTTP/1.1 200") << extra;
        ASSERT_EQ(seen.size(), 1u) << extra;
        expectFromTenant(seen[0], tenant);
    }

    ScriptedHost second{io};
    Values seen;

private:
    int again_ = 0;
};

TEST_F(TenantKeyTest, UnaskedKeyOfTheClientReachesNoHost) {
    start();
    for (const char* path : {"/p/x", "/s/x", "/e/x", "/r/x"}) expectServedAs(path, bearer(kKey), {"alder"});
    expectServedAs("/p/x", bearer(kOtherKey), {"birch"});
}

TEST_F(TenantKeyTest, UnaskedTenantNameOfTheClientIsReplaced) {
    start();
    expectServedAs("/p/x", bearer(kKey) + "X-Tenant-Name: spoofed\r\n", {"alder"});
    expectServedAs("/p/x", "X-Tenant-Name: spoofed\r\n" + bearer(kKey), {"alder"});
    expectServedAs("/p/x", "X-Tenant-Name: birch\r\n" + bearer(kKey), {"alder"});
    expectServedAs("/p/x", "X-Tenant-Name:\r\n" + bearer(kKey), {"alder"});
}

TEST_F(TenantKeyTest, UnaskedSeveralTenantNamesOfTheClientAreReplaced) {
    start();
    expectServedAs("/p/x",
                   "X-Tenant-Name: spoofed\r\n" + bearer(kKey) +
                       "X-Tenant-Name: birch\r\n"
                       "x-tenant-name: spoofed\r\n",
                   {"alder"});
}

TEST_F(TenantKeyTest, UnaskedNamesOfFieldsAreReadInAnyCase) {
    start();
    expectServedAs("/p/x", fmt::format("aUTHORIZATION: bEARER {}\r\nx-tenant-NAME: spoofed\r\n", kKey),
                   {"alder"});
    expectServedAs("/p/x", fmt::format("AUTHORIZATION:Bearer  {}  \r\nX-TENANT-NAME:spoofed\r\n", kKey),
                   {"alder"});
}

TEST_F(TenantKeyTest, UnaskedConnectionFieldOfTheClientTakesNoTenantNameOff) {
    start();
    const std::string spoofed = "X-Tenant-Name: spoofed\r\n";
    for (const char* named : {"X-Tenant-Name", "x-tenant-name", "Authorization",
                              "authorization, X-Tenant-Name", "keep-alive, X-Tenant-Name"})
        expectServedAs("/p/x", fmt::format("Connection: {}\r\n", named) + bearer(kKey) + spoofed, {"alder"});
}

TEST_F(TenantKeyTest, UnaskedKeyInOtherFieldsOfOneConnectionReachesNoHost) {
    start();
    expectServedAs("/p/x", bearer(kKey) + fmt::format("Proxy-Authorization: Bearer {}\r\n", kOtherKey),
                   {"alder"});
}

TEST_F(TenantKeyTest, UnaskedTenantNameInTrailersReachesNoHost) {
    start();
    const PeerPtr client = connectTo(io, gateway->frontEndpoint());
    client->send("POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nTrailer: X-Tenant-Name\r\n" +
                 bearer(kKey) +
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Tenant-Name: spoofed\r\n" +
                 bearer(kOtherKey) + "\r\n");
    ASSERT_EQ(statusAt(client), "HTTP/1.1 200");
    ASSERT_EQ(seen.size(), 1u);
    expectFromTenant(seen[0], {"alder"});
}

TEST_F(TenantKeyTest, UnaskedTenantNameInMalformedFieldsReachesNoHost) {
    start();
    for (const char* field :
         {"X-Tenant-Name : spoofed\r\n", "X-Tenant-Name\t: spoofed\r\n",
          "X-Other: a\r\n X-Tenant-Name: spoofed\r\n", "X-Other: a\nX-Tenant-Name: spoofed\r\n",
          "X-Other: a\rX-Tenant-Name: spoofed\r\n"})
        EXPECT_EQ(statusOf("/p/x", bearer(kKey) + field), "HTTP/1.1 400") << field;
    EXPECT_EQ(seen, Values{});
}

TEST_F(TenantKeyTest, UnaskedRequestTriedAgainAtAnotherHostBearsTheTenantAlone) {
    addHost("i-2", second);
    host.onRequest =
        second.onRequest = [this](Peer& peer) { serve(peer, seen.empty() ? kMisdirected : kServed); };
    start();
    EXPECT_EQ(statusOf("/s/x", bearer(kKey) + "X-Tenant-Name: spoofed\r\n"), "HTTP/1.1 200");
    ASSERT_EQ(seen.size(), 2u);
    for (const std::string& request : seen) expectFromTenant(request, {"alder"});
}

// Hedged attempts are a small part of the idempotent requests: some are served first.
TEST_F(TenantKeyTest, UnaskedHedgedAttemptBearsTheTenantAlone) {
    constexpr int kEarlier = 40;
    const std::string fields = bearer(kKey) + "X-Tenant-Name: spoofed\r\n";
    addHost("i-2", second);
    Values overdue;
    host.onRequest = second.onRequest = [this, &overdue](Peer& peer) {
        if (!record(peer)) return;
        const bool isOverdue = valuesOf(seen.back(), "X-Attempt-Id") == Values{"overdue"};
        if (isOverdue) overdue.push_back(seen.back());
        if (!isOverdue || overdue.size() > 1) peer.send(answerTo(seen.back(), kServed));
    };
    start();
    for (int i = 0; i < kEarlier; ++i)
        ASSERT_EQ(statusOf("/s/x", fields, fmt::format("a{}", i)), "HTTP/1.1 200");
    EXPECT_EQ(statusOf("/s/x", fields, "overdue"), "HTTP/1.1 200");
    EXPECT_EQ(overdue.size(), 2u);
    for (const std::string& request : seen) expectFromTenant(request, {"alder"});
}

TEST_F(TenantKeyTest, UnaskedResumedStreamBearsTheTenantAlone) {
    addHost("i-2", second);
    host.onRequest = second.onRequest = [this](Peer& peer) {
        if (!record(peer)) return;
        const std::string head =
            std::string(kHead) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (seen.size() > 1) return peer.send(head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
        peer.send(head + "f\r\nid: 1\ndata: a\n\n\r\n");
        peer.close();
    };
    start();
    const PeerPtr client = ask("/r/x", "a1", bearer(kKey) + "X-Tenant-Name: spoofed\r\n");
    ASSERT_TRUE(until(io, [&] { return client->ended || client->has("0\r\n\r\n"); }));
    ASSERT_EQ(seen.size(), 2u);
    EXPECT_EQ(valuesOf(seen[1], "Last-Event-Id"), Values{"1"});
    for (const std::string& request : seen) expectFromTenant(request, {"alder"});
}

// A tenant's requests, tried again after the key has gone, are still that tenant's.
TEST_F(TenantKeyTest, UnaskedRequestTriedAgainKeepsTheTenantItWasAcceptedFor) {
    addHost("i-2", second);
    PeerPtr first;
    host.onRequest = second.onRequest = [this, &first](Peer& peer) {
        if (!record(peer)) return;
        if (first)
            peer.send(answerTo(seen.back(), kServed));
        else
            first = peer.shared_from_this();
    };
    start();
    const PeerPtr client = ask("/p/x", "a1", bearer(kKey));
    ASSERT_TRUE(until(io, [&] { return first != nullptr; }));
    control.table["member/tenants"] = R"([{"name":"birch","api_keys":["key-of-alder-4711"]}])";
    publish();
    first->send(answerTo(seen.front(), kMisdirected));
    const std::string status = statusAt(client);
    for (const std::string& request : seen) expectFromTenant(request, {"alder"});
    EXPECT_TRUE(status == "HTTP/1.1 200" || status == "HTTP/1.1 503") << status;
}

TEST_F(TenantKeyTest, UnaskedKeyMovedToAnotherTenantBindsOnAKeptConnection) {
    start();
    const PeerPtr client = ask("/p/x", "a1", bearer(kKey));
    ASSERT_EQ(statusAt(client), "HTTP/1.1 200");
    control.table["member/tenants"] =
        R"([{"name":"alder","api_keys":["fresh"]},{"name":"birch","api_keys":["key-of-alder-4711"]}])";
    publish();
    EXPECT_EQ(askAgain(client, "/p/x", bearer(kKey)), "HTTP/1.1 200");
    ASSERT_EQ(seen.size(), 2u);
    expectFromTenant(seen[0], {"alder"});
    expectFromTenant(seen[1], {"birch"});
    EXPECT_EQ(askAgain(client, "/p/x", bearer(kOtherKey)), "HTTP/1.1 401");
}

TEST_F(TenantKeyTest, UnaskedTenantsOfOneKeptConnectionAreNotMixed) {
    start();
    const PeerPtr client = ask("/p/x", "a1", bearer(kKey));
    ASSERT_EQ(statusAt(client), "HTTP/1.1 200");
    EXPECT_EQ(askAgain(client, "/p/x", bearer(kOtherKey)), "HTTP/1.1 200");
    EXPECT_EQ(askAgain(client, "/p/x", ""), "HTTP/1.1 401");
    EXPECT_EQ(askAgain(client, "/o/x", ""), "HTTP/1.1 200");
    ASSERT_EQ(seen.size(), 3u);
    expectFromTenant(seen[0], {"alder"});
    expectFromTenant(seen[1], {"birch"});
    expectFromTenant(seen[2], {});
}

TEST_F(TenantKeyTest, UnaskedPublicRoutesWithholdKeysToo) {
    start();
    expectServedAs("/o/x", "", {});
    expectServedAs("/o/x", "X-Tenant-Name: spoofed\r\n", {});
    expectServedAs("/o/x", bearer(kKey) + "X-Tenant-Name: spoofed\r\n", {"alder"});
    expectServedAs("/o/x", bearer(kUnknownKey) + "X-Tenant-Name: alder\r\n", {});
    expectServedAs("/o/x", bearer(kKey) + bearer(kOtherKey), {});
    expectServedAs("/o/x", fmt::format("Authorization: Basic {}\r\n", kKey), {});
}

TEST_F(TenantKeyTest, RouteKeysThatNobodyHoldsReachNoHost) {
    start();
    for (const std::string& fields :
         {std::string(), bearer(kUnknownKey), bearer(""), std::string("Authorization: Bearer\r\n"),
          bearer(std::string(kKey) + "x"), bearer(std::string(kKey).substr(1)), bearer("KEY-OF-ALDER-4711"),
          fmt::format("Authorization: {}\r\n", kKey), fmt::format("Authorization: Basic {}\r\n", kKey),
          bearer(kKey) + bearer(kOtherKey), bearer(kKey) + bearer(kUnknownKey),
          bearer(fmt::format("{}, Bearer {}", kKey, kOtherKey)), std::string("X-Tenant-Name: alder\r\n")}) {
        const PeerPtr client = ask("/p/x", "a1", fields);
        EXPECT_EQ(statusAt(client), "HTTP/1.1 401") << fields;
        EXPECT_EQ(valuesOf(client->got, "WWW-Authenticate"), Values{"Bearer"});
        EXPECT_EQ(client->got.find("key-of-"), std::string::npos) << "the answer quotes a key";
    }
    EXPECT_EQ(seen, Values{});
}

TEST_F(TenantKeyTest, ConfigKeysThatWereTakenAwayAreRefusedOnAKeptConnection) {
    start();
    const PeerPtr client = ask("/p/x", "a1", bearer(kKey));
    ASSERT_EQ(statusAt(client), "HTTP/1.1 200");
    control.table["member/tenants"] = R"([{"name":"alder","api_keys":[]}])";
    publish();
    EXPECT_EQ(askAgain(client, "/p/x", bearer(kKey)), "HTTP/1.1 401");
    control.table["member/tenants"] = kTenants;
    publish();
    EXPECT_EQ(askAgain(client, "/p/x", bearer(kKey)), "HTTP/1.1 200");
    EXPECT_EQ(seen.size(), 2u);
}

TEST_F(TenantKeyTest, RouteUnreadableTenantsLeaveNoKeyKnown) {
    for (const char* unreadable : {"{", "{}", "7", R"([{"name":7}])"}) {
        control.table["member/tenants"] = unreadable;
        start();
        EXPECT_EQ(statusOf("/p/x", bearer(kKey)), "HTTP/1.1 503") << unreadable;
        gateway.reset();
    }
    EXPECT_EQ(seen, Values{});
}

TEST_F(TenantKeyTest, WithoutTenantsHeadersPassButForTheTenantName) {
    control.table.erase("member/tenants");
    start();
    EXPECT_EQ(statusOf("/p/x", bearer(kUnknownKey) + "X-Tenant-Name: spoofed\r\nX-Other: kept\r\n"),
              "HTTP/1.1 200");
    EXPECT_EQ(statusOf("/p/x", ""), "HTTP/1.1 200");
    ASSERT_EQ(seen.size(), 2u);
    EXPECT_EQ(valuesOf(seen[0], "Authorization"), Values{std::string("Bearer ") + kUnknownKey});
    EXPECT_EQ(valuesOf(seen[0], "X-Other"), Values{"kept"});
    EXPECT_EQ(valuesOf(seen[0], "X-Tenant-Name"), Values{});
}

TEST_F(TenantKeyTest, HomeRegionsOfTheTenantBindBesideThoseOfTheRoute) {
    addHost("i-2", second, "z2");
    addRoute("west", "/w/", R"("type":"idempotent","max_attempts":2,"allowed_regions":["r2"])");
    control.table["member/tenants"] =
        R"([{"name":"alder","api_keys":["key-of-alder-4711"],"allowed_regions":["r2"]},)"
        R"({"name":"birch","api_keys":["key-of-birch-0815"],"allowed_regions":["r1"]}])";
    start();
    for (int i = 0; i < 6; ++i) {
        expectServedAs("/s/x", bearer(kKey), {"alder"});
        EXPECT_EQ(valuesOf(seen[0], "X-Target-Instance"), Values{"i-2"});
        expectServedAs("/s/x", bearer(kOtherKey), {"birch"});
        EXPECT_EQ(valuesOf(seen[0], "X-Target-Instance"), Values{"i-1"});
    }
    expectServedAs("/w/x", bearer(kKey), {"alder"});
    seen.clear();
    EXPECT_EQ(statusOf("/w/x", bearer(kOtherKey) + "X-Deadline-Remaining: 100\r\n"), "HTTP/1.1 503");
    EXPECT_EQ(seen, Values{}) << "no region is a home of both";
}

}  // namespace
}  // namespace beechpoint::gateway
