#include "routing/table_copy.hpp"

#include <gtest/gtest.h>

#include <random>

#include "tables.hpp"

namespace beechpoint::routing {
namespace {

using tables::route;

TEST(TableCopy, IsEmptyBeforeFirstUpdate) {
    const TableCopy copy;
    ASSERT_TRUE(copy.current());
    EXPECT_EQ(copy.position(), Position{});
    EXPECT_FALSE(copy.configured());
    EXPECT_FALSE(copy.current()->find("h", "/"));
}

TEST(TableCopy, AppliesDeltas) {
    Table table;
    TableCopy copy;
    EXPECT_TRUE(copy.apply({{1, 1}, true, tables::putRoutes(table, route("a", "h", "/a/"))}));
    EXPECT_TRUE(copy.configured());
    EXPECT_TRUE(copy.current()->find("h", "/a/"));
    EXPECT_TRUE(copy.apply({{1, 2}, false, tables::putRoutes(table, route("b", "h", "/b/"))}));
    EXPECT_FALSE(copy.current()->find("h", "/a/"));
    EXPECT_TRUE(copy.current()->find("h", "/b/"));
    EXPECT_EQ(copy.current()->revision(), 2U);
}

TEST(TableCopy, IgnoresOlderUpdates) {
    Table table;
    TableCopy copy;
    const std::vector<Change> first = tables::putRoutes(table, route("a", "h", "/a/"));
    copy.apply({{2, 5}, true, first});
    const auto before = copy.current();
    const std::vector<Change> older = tables::putRoutes(table, route("b", "h", "/b/"));
    EXPECT_FALSE(copy.apply({{2, 5}, true, older}));
    EXPECT_FALSE(copy.apply({{2, 4}, false, older}));
    EXPECT_FALSE(copy.apply({{1, 99}, true, older}));
    EXPECT_EQ(copy.current(), before);
    EXPECT_EQ(copy.ignoredUpdates(), 3U);
    EXPECT_TRUE(copy.apply({{3, 1}, false, older}));
}

TEST(TableCopy, DoesNotChangeSnapshotsInUse) {
    Table table;
    TableCopy copy;
    copy.apply({{1, 1}, true, tables::putRoutes(table, route("a", "h", "/a/") + "," + route("b", "g", "/"))});
    const auto before = copy.current();
    copy.apply({{1, 2}, false, tables::putRoutes(table, route("b", "h", "/a/"))});
    EXPECT_EQ(before->find("h", "/a/")->route.name, "a");
    EXPECT_EQ(before->find("g", "/")->route.name, "b");
    EXPECT_EQ(copy.current()->find("h", "/a/")->route.name, "b");
    EXPECT_FALSE(copy.current()->find("g", "/"));
}

TEST(TableCopy, SharesUnchangedEntries) {
    Table table;
    TableCopy copy;
    copy.apply(
        {{1, 1}, true, tables::putRoutes(table, route("a", "h", "/a/") + "," + route("b", "h", "/b/"))});
    const auto before = copy.current();
    tables::putRoutes(table, route("a", "h", "/a/") + "," + route("b", "h", "/c/"));
    copy.apply({{1, 2}, true, tables::fullTable(table)});
    EXPECT_EQ(copy.current()->findRoute("a"), before->findRoute("a"));
    EXPECT_EQ(copy.current()->findService("s"), before->findService("s"));
    EXPECT_NE(copy.current()->findRoute("b"), before->findRoute("b"));
}

TEST(TableCopy, AppliesEvacuationsAndTheirEnd) {
    Table table;
    TableCopy copy;
    copy.apply({{1, 1}, true, tables::putRoutes(table, route("a", "h", "/a/"))});
    copy.apply({{1, 2}, false, {{"evacuated/hub-hall", "1"}}});
    EXPECT_TRUE(copy.current()->evacuated("hub-hall"));
    copy.apply({{1, 3}, false, {{"evacuated/hub-hall", std::nullopt}}});
    EXPECT_FALSE(copy.current()->evacuated("hub-hall"));
    copy.apply({{1, 4}, false, {{"evacuated/hub-hall", "1"}}});
    copy.apply({{1, 5}, true, tables::fullTable(table)});
    EXPECT_FALSE(copy.current()->evacuated("hub-hall"));
}

// Over random series of configurations, deltas give the same routes as the full table.
TEST(TableCopy, DeltasGiveSameRoutesAsFullTable) {
    std::mt19937 random{11};
    Table table;
    TableCopy copy;
    for (std::uint64_t sequence = 1; sequence <= 300; ++sequence) {
        std::string routes;
        std::vector<bool> prefixUsed(12);
        for (unsigned number = 0; number < 8; ++number) {
            const unsigned prefix = static_cast<unsigned>(random() % prefixUsed.size());
            if (prefixUsed[prefix] || random() % 4 == 0) continue;
            prefixUsed[prefix] = true;
            routes += (routes.empty() ? "" : ",") + route(fmt::format("r{}", number),
                                                          fmt::format("h{}", prefix % 3),
                                                          fmt::format("/p{}/", prefix));
        }
        copy.apply({{1, sequence}, false, tables::putRoutes(table, routes)});
        const auto full = RoutingTable::fromTable(table, {1, sequence});
        ASSERT_EQ(copy.current()->routes().size(), full->routes().size());
        for (unsigned prefix = 0; prefix < prefixUsed.size(); ++prefix) {
            const std::string host = fmt::format("h{}", prefix % 3);
            const auto byDelta = copy.current()->find(host, fmt::format("/p{}/x", prefix));
            const auto byFullTable = full->find(host, fmt::format("/p{}/x", prefix));
            ASSERT_EQ(byDelta != nullptr, byFullTable != nullptr);
            ASSERT_EQ(byDelta != nullptr, prefixUsed[prefix]);
            if (byDelta) {
                ASSERT_EQ(byDelta->route, byFullTable->route);
            }
        }
    }
}

}  // namespace
}  // namespace beechpoint::routing
