// The tenants of a routing table, and how changes to them are applied to a gateway's copy.
#include <gtest/gtest.h>

#include <random>

#include "configuration/stored_item.hpp"
#include "routing/table_copy.hpp"
#include "tables.hpp"

namespace beechpoint::routing {
namespace {

const std::string kTenantsKey{configuration::kTenantsKey};
const std::string kTwoTenants =
    R"([{"name":"alder","api_keys":["a1","a2"]},{"name":"birch","api_keys":["b1"]}])";
const std::string kKeyRevoked = R"([{"name":"alder","api_keys":["a2"]},{"name":"birch","api_keys":["b1"]}])";

// Name of the tenant with the API key; empty: none.
std::string tenantOfKey(const RoutingTable& table, std::string_view key) {
    const auto entry = table.tenants() ? table.tenants()->findByKey(key) : nullptr;
    return entry ? entry->name : "";
}

// A table with one route and, if given, a tenant list.
Table tableWith(const std::optional<std::string>& tenants) {
    Table table;
    tables::putRoutes(table, tables::route("a", "h", "/a/"));
    if (tenants) table[kTenantsKey] = *tenants;
    return table;
}

// Applies a configuration with these tenants to the table and returns its changes.
std::vector<Change> putTenants(Table& table, const std::string& tenants) {
    const std::uint64_t current = configuration::currentRevision(table);
    const std::vector<Change> changes = tables::changesOf(configuration::putConfiguration(
        table, std::to_string(current),
        fmt::format(R"({{"revision":{},"routes":[{}],"services":[{}],"tenants":{}}})", current + 1,
                    tables::route("a", "h", "/a/"), tables::kServices, tenants)));
    beechpoint::apply(changes, table);
    return changes;
}

TEST(RoutingTableTenants, AreNullWithoutList) {
    const auto table = RoutingTable::fromTable(tableWith(std::nullopt), {1, 1});
    EXPECT_EQ(table->tenants(), nullptr);
    EXPECT_EQ(table->unreadableCount(), 0U);
}

TEST(RoutingTableTenants, AreReadFromFullTable) {
    const auto table = RoutingTable::fromTable(tableWith(kTwoTenants), {1, 1});
    ASSERT_NE(table->tenants(), nullptr);
    EXPECT_EQ(table->tenants()->size(), 2U);
    EXPECT_EQ(tenantOfKey(*table, "a2"), "alder");
    EXPECT_EQ(tenantOfKey(*table, "b1"), "birch");
    EXPECT_EQ(table->unreadableCount(), 0U);
}

TEST(RoutingTableTenants, AreReplacedByUpdateOfList) {
    const auto before = RoutingTable::fromTable(tableWith(kTwoTenants), {1, 1});
    const auto after = RoutingTable::updated(*before, {{1, 2}, false, {{kTenantsKey, kKeyRevoked}}});
    EXPECT_EQ(tenantOfKey(*after, "a1"), "");
    EXPECT_EQ(tenantOfKey(*after, "a2"), "alder");
    EXPECT_EQ(tenantOfKey(*before, "a1"), "alder") << "a snapshot in use has changed";
    EXPECT_TRUE(after->find("h", "/a/"));
}

TEST(RoutingTableTenants, AreNullAfterListIsRemoved) {
    const auto before = RoutingTable::fromTable(tableWith(kTwoTenants), {1, 1});
    const auto byDelta = RoutingTable::updated(*before, {{1, 2}, false, {{kTenantsKey, std::nullopt}}});
    EXPECT_EQ(byDelta->tenants(), nullptr);
    const auto byFullTable =
        RoutingTable::updated(*before, {{1, 2}, true, tables::fullTable(tableWith(std::nullopt))});
    EXPECT_EQ(byFullTable->tenants(), nullptr);
    EXPECT_NE(before->tenants(), nullptr);
}

TEST(RoutingTableTenants, AreSharedByUpdatesOfOtherValues) {
    const auto before = RoutingTable::fromTable(tableWith(kTwoTenants), {1, 1});
    const auto after = RoutingTable::updated(
        *before,
        {{1, 2}, false, {{"evacuated/z1", "1"}, {"member/unknown", "[]"}, {"member/tenants2", "[]"}}});
    EXPECT_EQ(after->tenants(), before->tenants());
    EXPECT_EQ(tenantOfKey(*after, "a1"), "alder");
}

TEST(RoutingTableTenants, AreEmptyWhenListCannotBeParsed) {
    for (const char* unreadable : {"", "{", "null", "7", R"({"name":"birch","api_keys":["b1"]})", "[1,"}) {
        const auto full = RoutingTable::fromTable(tableWith(unreadable), {1, 1});
        ASSERT_NE(full->tenants(), nullptr) << unreadable << ": requests would need no key";
        EXPECT_EQ(full->tenants()->size(), 0U);
        EXPECT_EQ(full->unreadableCount(), 1U);
        const auto before = RoutingTable::fromTable(tableWith(kTwoTenants), {1, 1});
        const auto byDelta = RoutingTable::updated(*before, {{1, 2}, false, {{kTenantsKey, unreadable}}});
        ASSERT_NE(byDelta->tenants(), nullptr) << unreadable;
        EXPECT_EQ(tenantOfKey(*byDelta, "b1"), "") << unreadable;
        EXPECT_EQ(byDelta->unreadableCount(), 1U);
    }
}

TEST(RoutingTableTenants, SkipUnparsableTenants) {
    const auto table = RoutingTable::fromTable(
        tableWith(R"([{"api_keys":["n1"]},{"name":"","api_keys":["n2"]},{"name":"elm","api_keys":"e1"},7,)"
                  R"({"name":"oak","api_keys":[1]},{"name":"birch","api_keys":["b1"]}])"),
        {1, 1});
    EXPECT_EQ(table->tenants()->size(), 1U);
    EXPECT_EQ(table->unreadableCount(), 5U);
    EXPECT_EQ(tenantOfKey(*table, "b1"), "birch");
    for (const char* key : {"n1", "n2", "e1", "1"}) EXPECT_EQ(tenantOfKey(*table, key), "") << key;
}

TEST(RoutingTableTenants, IgnoreUnknownFields) {
    const auto table = RoutingTable::fromTable(
        tableWith(R"([{"name":"birch","api_keys":["b1"],"note":{"x":[1]}}])"), {1, 1});
    EXPECT_EQ(tenantOfKey(*table, "b1"), "birch");
    EXPECT_EQ(table->unreadableCount(), 0U);
}

TEST(TableCopyTenants, DeltaRevokesKey) {
    Table table;
    TableCopy copy;
    ASSERT_TRUE(copy.apply({{1, 1}, true, putTenants(table, kTwoTenants)}));
    ASSERT_EQ(tenantOfKey(*copy.current(), "a1"), "alder");
    const std::vector<Change> revocation = putTenants(table, kKeyRevoked);
    ASSERT_TRUE(copy.apply({{1, 2}, false, revocation}));
    EXPECT_EQ(tenantOfKey(*copy.current(), "a1"), "");
    EXPECT_EQ(tenantOfKey(*copy.current(), "a2"), "alder");
}

TEST(TableCopyTenants, FullTableRevokesKey) {
    Table table;
    TableCopy copy;
    ASSERT_TRUE(copy.apply({{1, 1}, true, putTenants(table, kTwoTenants)}));
    putTenants(table, kKeyRevoked);
    ASSERT_TRUE(copy.apply({{1, 2}, true, tables::fullTable(table)}));
    EXPECT_EQ(tenantOfKey(*copy.current(), "a1"), "");
    EXPECT_EQ(tenantOfKey(*copy.current(), "a2"), "alder");
}

TEST(TableCopyTenants, OperatorPatchRevokesKey) {
    Table table;
    TableCopy copy;
    ASSERT_TRUE(copy.apply({{1, 1}, true, putTenants(table, kTwoTenants)}));
    const std::uint64_t current = configuration::currentRevision(table);
    const std::vector<Change> changes = tables::changesOf(configuration::patchConfiguration(
        table, std::to_string(current),
        fmt::format(R"({{"revision":{},"upsert":{{"tenants":{}}}}})", current + 1, kKeyRevoked)));
    ASSERT_TRUE(copy.apply({{1, 2}, false, changes}));
    EXPECT_EQ(tenantOfKey(*copy.current(), "a1"), "");
    EXPECT_EQ(tenantOfKey(*copy.current(), "b1"), "birch");
}

TEST(TableCopyTenants, OlderUpdateDoesNotRestoreRevokedKey) {
    Table table;
    TableCopy copy;
    const std::vector<Change> first = putTenants(table, kTwoTenants);
    ASSERT_TRUE(copy.apply({{1, 1}, true, first}));
    ASSERT_TRUE(copy.apply({{1, 2}, false, putTenants(table, kKeyRevoked)}));
    EXPECT_FALSE(copy.apply({{1, 1}, true, first}));
    EXPECT_FALSE(copy.apply({{1, 2}, true, first}));
    EXPECT_EQ(tenantOfKey(*copy.current(), "a1"), "");
}

TEST(TableCopyTenants, DeltaRemovesTenants) {
    Table table;
    TableCopy copy;
    ASSERT_TRUE(copy.apply({{1, 1}, true, putTenants(table, kTwoTenants)}));
    ASSERT_TRUE(copy.apply({{1, 2}, false, tables::putRoutes(table, tables::route("a", "h", "/a/"))}));
    EXPECT_EQ(copy.current()->tenants(), nullptr);
}

// Over random series of configurations, deltas give the same keys as the full table.
TEST(TableCopyTenants, DeltasGiveSameKeysAsFullTable) {
    std::mt19937 random{19};
    Table table;
    TableCopy copy;
    for (std::uint64_t sequence = 1; sequence <= 200; ++sequence) {
        std::vector<std::string> keysOf(4);
        std::vector<std::string> tenantOf(12);
        for (std::size_t key = 0; key < tenantOf.size(); ++key) {
            const std::size_t tenant = random() % 6;
            if (tenant >= keysOf.size()) continue;
            tenantOf[key] = fmt::format("t{}", tenant);
            keysOf[tenant] += fmt::format(R"({}"k{}")", keysOf[tenant].empty() ? "" : ",", key);
        }
        std::string list;
        for (std::size_t tenant = 0; tenant < keysOf.size(); ++tenant)
            list += fmt::format(R"({}{{"name":"t{}","api_keys":[{}]}})", list.empty() ? "" : ",", tenant,
                                keysOf[tenant]);
        copy.apply({{1, sequence}, false, putTenants(table, "[" + list + "]")});
        const auto full = RoutingTable::fromTable(table, {1, sequence});
        for (std::size_t key = 0; key < tenantOf.size(); ++key) {
            ASSERT_EQ(tenantOfKey(*copy.current(), fmt::format("k{}", key)), tenantOf[key]);
            ASSERT_EQ(tenantOfKey(*full, fmt::format("k{}", key)), tenantOf[key]);
        }
    }
}

}  // namespace
}  // namespace beechpoint::routing
