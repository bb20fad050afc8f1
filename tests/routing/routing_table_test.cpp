#include "routing/routing_table.hpp"

#include <gtest/gtest.h>

#include "tables.hpp"

namespace beechpoint::routing {
namespace {

using tables::route;

std::string routeNameAt(const RoutingTable& table, std::string_view host, std::string_view path) {
    const auto entry = table.find(host, path);
    return entry ? entry->route.name : "";
}

std::shared_ptr<const RoutingTable> tableWith(const std::string& routes) {
    Table table;
    tables::putRoutes(table, routes);
    return RoutingTable::fromTable(table, {1, 1});
}

TEST(RoutingTable, FindsLongestPrefixOfTheHost) {
    const auto table =
        tableWith(route("root", "h.example", "/") + "," + route("a", "h.example", "/a/") + "," +
                  route("deep", "h.example", "/a/b/c/") + "," + route("other", "g.example", "/a/b/"));
    EXPECT_EQ(routeNameAt(*table, "h.example", "/"), "root");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/a"), "root");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/ax/"), "root");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/a/"), "a");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/a/b/c"), "a");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/a/b/c/"), "deep");
    EXPECT_EQ(routeNameAt(*table, "h.example", "/a/b/c/d/e/f"), "deep");
    EXPECT_EQ(routeNameAt(*table, "g.example", "/a/b/c/"), "other");
    EXPECT_EQ(routeNameAt(*table, "g.example", "/a/"), "");
    EXPECT_EQ(routeNameAt(*table, "g.example", "/"), "");
    EXPECT_EQ(routeNameAt(*table, "nowhere.example", "/a/"), "");
}

TEST(RoutingTable, ComparesHostsWithoutCasePortAndTrailingDot) {
    const auto table = tableWith(route("a", "H.Example", "/a/"));
    for (const char* host :
         {"h.example", "H.EXAMPLE", "h.example:8144", "h.example.", "h.example.:80", " h.example\t"})
        EXPECT_EQ(routeNameAt(*table, host, "/a/x"), "a") << host;
    for (const char* host : {"", ":80", "h.exampl", "h.example.x", "xh.example", "[h.example]"})
        EXPECT_EQ(routeNameAt(*table, host, "/a/x"), "") << host;
    EXPECT_EQ(RoutingTable::normalizeHost("[::1]:80"), "[::1]");
}

TEST(RoutingTable, MatchesPathOnlyAndAsWritten) {
    const auto table = tableWith(route("a", "h", "/a/"));
    EXPECT_EQ(routeNameAt(*table, "h", "/a/?x=/b/"), "a");
    EXPECT_EQ(routeNameAt(*table, "h", "/?x=/a/"), "");
    EXPECT_EQ(routeNameAt(*table, "h", "/A/"), "");
    EXPECT_EQ(routeNameAt(*table, "h", "//a/"), "");
    EXPECT_EQ(routeNameAt(*table, "h", "a/"), "");
    EXPECT_EQ(routeNameAt(*table, "h", ""), "");
    EXPECT_EQ(routeNameAt(*table, "h", "*"), "");
}

TEST(RoutingTable, SelectsBackendByWeights) {
    const auto table = tableWith(
        R"({"name":"a","hostname":"h","path_prefix":"/","timeout_ms":1,"backend":"t","traffic_split":[)"
        R"({"backend":"t","weight":0},{"backend":"s","weight":3},{"backend":"t","weight":1},{"backend":"s","weight":0}]})");
    const auto entry = table->findRoute("a");
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->backendFor(0), "s");
    EXPECT_EQ(entry->backendFor(0.749), "s");
    EXPECT_EQ(entry->backendFor(0.75), "t");
    EXPECT_EQ(entry->backendFor(0.999999), "t");
    EXPECT_EQ(entry->backendFor(1), "t");
    EXPECT_TRUE(entry->routesTo("s"));
    EXPECT_FALSE(entry->routesTo("u"));
}

TEST(RoutingTable, ReportsAllowedRegions) {
    const auto table =
        tableWith(route("a", "h", "/a/") + R"(,{"name":"b","hostname":"h","path_prefix":"/b/","backend":"s",)"
                                           R"("allowed_regions":["east"]})");
    EXPECT_TRUE(table->findRoute("a")->allows("west"));
    EXPECT_TRUE(table->findRoute("b")->allows("east"));
    EXPECT_FALSE(table->findRoute("b")->allows("west"));
}

TEST(RoutingTable, HasServicesLimitsZonesAndRevision) {
    Table table;
    tables::putRoutes(table, route("a", "h", "/a/"));
    table["limits"] = R"({"max_body_bytes":77})";
    beechpoint::apply(tables::changesOf(configuration::evacuate(table, "hub-hall", true)), table);
    const auto routing = RoutingTable::fromTable(table, {3, 4});
    ASSERT_TRUE(routing->findService("s"));
    EXPECT_DOUBLE_EQ(routing->findService("s")->service.maxConnections, 10);
    EXPECT_FALSE(routing->findService("none"));
    EXPECT_DOUBLE_EQ(routing->limits().maxBodyBytes, 77);
    EXPECT_TRUE(routing->evacuated("hub-hall"));
    EXPECT_FALSE(routing->evacuated("other"));
    EXPECT_EQ(routing->revision(), 1U);
    EXPECT_EQ(routing->position(), (Position{3, 4}));
    EXPECT_EQ(routing->unreadableCount(), 0U);
}

TEST(RoutingTable, SkipsAndCountsUnreadableValues) {
    Table table;
    tables::putRoutes(table, route("a", "h", "/a/") + "," + route("b", "h", "/b/"));
    table["route/a"] = "1 {\"name\":";
    table["service/t"] = "no order";
    const auto routing = RoutingTable::fromTable(table, {1, 1});
    EXPECT_EQ(routing->unreadableCount(), 2U);
    EXPECT_EQ(routeNameAt(*routing, "h", "/a/"), "");
    EXPECT_EQ(routeNameAt(*routing, "h", "/b/"), "b");
}

// A path with many slashes is searched only up to the length of the longest prefix.
TEST(RoutingTable, BoundsSearchByLongestPrefix) {
    const auto table = tableWith(route("a", "h", "/a/"));
    const std::string slashes(1 << 20, '/');
    EXPECT_EQ(routeNameAt(*table, "h", slashes), "");
    EXPECT_EQ(routeNameAt(*table, "h", "/a" + slashes), "a");
}

}  // namespace
}  // namespace beechpoint::routing
