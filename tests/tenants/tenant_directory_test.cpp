#include "tenants/tenant_directory.hpp"

#include <gtest/gtest.h>

namespace beechpoint::tenants {
namespace {

configuration::Tenant tenant(std::string name, std::vector<std::string> keys) {
    configuration::Tenant made;
    made.name = std::move(name);
    made.apiKeys = std::move(keys);
    return made;
}

TEST(TenantDirectory, IsEmptyWithoutTenants) {
    const TenantDirectory directory{{}};
    EXPECT_EQ(directory.size(), 0U);
    EXPECT_EQ(directory.findByKey("k"), nullptr);
    EXPECT_EQ(directory.findByKey(""), nullptr);
}

TEST(TenantDirectory, FindsTenantsByEachOfTheirKeys) {
    const TenantDirectory directory{
        {tenant("alder", {"a1", "a2"}), tenant("birch", {"b1"}), tenant("elm", {})}};
    EXPECT_EQ(directory.size(), 3U);
    ASSERT_NE(directory.findByKey("a1"), nullptr);
    EXPECT_EQ(directory.findByKey("a1")->name, "alder");
    EXPECT_EQ(directory.findByKey("a1"), directory.findByKey("a2"));
    EXPECT_EQ(directory.findByKey("b1")->name, "birch");
    for (const char* unknown : {"", "a", "a11", "A1", "a1 ", "alder", "elm"})
        EXPECT_EQ(directory.findByKey(unknown), nullptr) << unknown;
}

TEST(TenantDirectory, KeepsPriorityClassAndRegions) {
    configuration::Tenant alder = tenant("alder", {"a1"});
    alder.priorityClass = 0;
    alder.allowedRegions = {"west", "east"};
    const TenantDirectory directory{{alder, tenant("birch", {"b1"})}};
    EXPECT_EQ(directory.findByKey("a1")->priorityClass, 0);
    EXPECT_EQ(directory.findByKey("a1")->allowedRegions, (std::vector<std::string>{"west", "east"}));
    EXPECT_EQ(directory.findByKey("b1")->priorityClass, std::nullopt);
    EXPECT_TRUE(directory.findByKey("b1")->allowedRegions.empty());
}

TEST(TenantDirectory, FindsNoTenantByAKeyThatTwoTenantsList) {
    const TenantDirectory directory{
        {tenant("alder", {"both", "a1"}), tenant("birch", {"both", "b1"}), tenant("elm", {"both"})}};
    EXPECT_EQ(directory.findByKey("both"), nullptr);
    EXPECT_EQ(directory.findByKey("a1")->name, "alder");
    EXPECT_EQ(directory.findByKey("b1")->name, "birch");
}

TEST(TenantDirectory, AcceptsAKeyThatOneTenantListsTwice) {
    const TenantDirectory directory{{tenant("alder", {"a1", "a1"})}};
    ASSERT_NE(directory.findByKey("a1"), nullptr);
    EXPECT_EQ(directory.findByKey("a1")->name, "alder");
}

TEST(TenantDirectory, RemembersKeysThatWereRevoked) {
    const TenantDirectory first{{tenant("alder", {"a1", "a2"}), tenant("birch", {"b1"})}};
    const TenantDirectory second{{tenant("alder", {"a2"}), tenant("birch", {"b1"})}, &first};
    const TenantDirectory third{{tenant("alder", {"a2", "a3"})}, &second};
    EXPECT_FALSE(first.wasRevoked("a1"));
    EXPECT_TRUE(second.wasRevoked("a1"));
    EXPECT_TRUE(third.wasRevoked("a1"));
    EXPECT_TRUE(third.wasRevoked("b1"));
    for (const char* key : {"a2", "a3", "never", ""}) EXPECT_FALSE(third.wasRevoked(key)) << key;
    const TenantDirectory again{{tenant("elm", {"a1"})}, &third};
    EXPECT_FALSE(again.wasRevoked("a1"));
    EXPECT_EQ(again.findByKey("a1")->name, "elm");
    EXPECT_EQ(again.findByKey("a2"), nullptr) << "a revoked key was found";
}

TEST(TenantDirectory, RemembersABoundedNumberOfRevokedKeysAndTheNewestFirst) {
    std::vector<std::string> many;
    for (std::size_t i = 0; i < TenantDirectory::kMaxRevokedKeys; ++i)
        many.push_back("k" + std::to_string(i));
    const TenantDirectory first{{tenant("alder", many), tenant("birch", {"b1"})}};
    const TenantDirectory second{{tenant("birch", {"b1"})}, &first};
    const TenantDirectory third{{}, &second};
    std::size_t remembered = 0;
    for (const std::string& key : many) {
        EXPECT_TRUE(second.wasRevoked(key));
        remembered += third.wasRevoked(key) ? 1 : 0;
    }
    EXPECT_TRUE(third.wasRevoked("b1"));
    EXPECT_EQ(remembered, TenantDirectory::kMaxRevokedKeys - 1);
}

// A request keeps its tenant entry after the directory has been destroyed.
TEST(TenantDirectory, EntriesOutliveTheDirectory) {
    std::shared_ptr<const TenantEntry> entry;
    {
        const TenantDirectory directory{{tenant("alder", {"a1"})}};
        entry = directory.findByKey("a1");
    }
    EXPECT_EQ(entry->name, "alder");
}

TEST(TenantDirectory, HoldsManyTenants) {
    std::vector<configuration::Tenant> tenants;
    for (int i = 0; i < 5'000; ++i) {
        const std::string number = std::to_string(i);
        tenants.push_back(tenant("t" + number, {"k" + number, "l" + number}));
    }
    const TenantDirectory directory{tenants};
    EXPECT_EQ(directory.size(), 5'000U);
    for (int i = 0; i < 5'000; ++i) {
        const std::string number = std::to_string(i);
        ASSERT_EQ(directory.findByKey("k" + number)->name, "t" + number);
        ASSERT_EQ(directory.findByKey("l" + number)->name, "t" + number);
    }
}

}  // namespace
}  // namespace beechpoint::tenants
