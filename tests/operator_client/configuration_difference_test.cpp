#include "operator_client/configuration_difference.hpp"

#include <gtest/gtest.h>

namespace beechpoint::operator_client {
namespace {

std::vector<ItemDifference> differencesOf(std::string_view current, std::string_view proposed) {
    const auto differences = difference(current, proposed);
    EXPECT_TRUE(differences.has_value());
    return differences ? differences.value() : std::vector<ItemDifference>{};
}

TEST(ConfigurationDifference, ListsItemsAddedChangedAndRemoved) {
    const auto differences = differencesOf(
        R"({"revision":1,"routes":[{"name":"a","timeout_ms":500},{"name":"b"}],"services":[{"name":"s"}]})",
        R"({"revision":2,"routes":[{"name":"c"},{"name":"a","timeout_ms":800,"x":[1]}],"services":[{"name":"s"}]})");
    const std::vector<ItemDifference> expected = {
        {DifferenceKind::changed, "routes", "a", {"timeout_ms: 500 -> 800", "x: none -> [1]"}},
        {DifferenceKind::removed, "routes", "b", {}},
        {DifferenceKind::added, "routes", "c", {}},
    };
    EXPECT_EQ(differences, expected);
    EXPECT_EQ(renderDifferences(differences),
              "changed  routes/a\n           timeout_ms: 500 -> 800\n           x: none -> [1]\n"
              "removed  routes/b\nadded    routes/c\n");
}

TEST(ConfigurationDifference, IgnoresRevisionAndOrder) {
    EXPECT_TRUE(differencesOf(R"({"revision":1,"routes":[{"name":"a"},{"name":"b","x":1.0}]})",
                              R"({"revision":9,"routes":[{"x":1,"name":"b"},{"name":"a"}],"services":[]})")
                    .empty());
    EXPECT_EQ(renderDifferences({}), "no difference\n");
}

TEST(ConfigurationDifference, ComparesMembersOutsideLists) {
    const std::vector<ItemDifference> expected = {
        {DifferenceKind::changed, "", "limits", {"max_header_bytes: 1 -> 2"}},
        {DifferenceKind::added, "", "note", {}},
    };
    EXPECT_EQ(differencesOf(R"({"limits":{"max_header_bytes":1}})",
                            R"({"limits":{"max_header_bytes":2},"note":"x"})"),
              expected);
}

TEST(ConfigurationDifference, ListsItemsOfEmptiedListAsRemoved) {
    const std::vector<ItemDifference> expected = {{DifferenceKind::removed, "routes", "a", {}}};
    EXPECT_EQ(differencesOf(R"({"routes":[{"name":"a"}]})", R"({"routes":[]})"), expected);
    EXPECT_EQ(differencesOf(R"({"routes":[{"name":"a"}]})", R"({})"), expected);
}

TEST(ConfigurationDifference, ApiKeysAreNotShown) {
    const auto differences = differencesOf(
        R"({"tenants":[{"name":"a","api_keys":["secret-1"]},{"name":"b","api_keys":["secret-2"]},{"name":"c"}]})",
        R"({"tenants":[{"name":"a","api_keys":["secret-1","secret-3"]},{"name":"c","api_keys":"secret-4",)"
        R"("x":{"api_keys":["secret-5"]}},{"name":"d","api_keys":["secret-2"]}]})");
    const std::vector<ItemDifference> expected = {
        {DifferenceKind::changed, "tenants", "a", {"api_keys: 1 not shown -> 2 not shown"}},
        {DifferenceKind::removed, "tenants", "b", {}},
        {DifferenceKind::changed,
         "tenants",
         "c",
         {"api_keys: none -> not shown", R"(x: none -> {"api_keys":"1 not shown"})"}},
        {DifferenceKind::added, "tenants", "d", {}},
    };
    EXPECT_EQ(differences, expected);
    EXPECT_EQ(renderDifferences(differences).find("secret"), std::string::npos);
    EXPECT_EQ(renderDifferencesJson(differences).find("secret"), std::string::npos);
}

TEST(ConfigurationDifference, ApiKeysOfMalformedTenantsAreNotShown) {
    for (const char* tenants : {R"([{"api_keys":["secret"]}])", R"({"secret":{"api_keys":["secret"]}})",
                                R"(["secret"])", R"("secret")"}) {
        const std::string malformed = std::string(R"({"tenants":)") + tenants + "}";
        for (const auto& differences : {differencesOf(R"({"tenants":[]})", malformed),
                                        differencesOf(malformed, R"({"tenants":{"secret":1}})")}) {
            ASSERT_EQ(differences.size(), 1u) << tenants;
            EXPECT_EQ(renderDifferences(differences).find("secret"), std::string::npos) << tenants;
        }
    }
}

TEST(ConfigurationDifference, RejectsWhatIsNoConfiguration) {
    EXPECT_FALSE(difference("{", "{}").has_value());
    EXPECT_FALSE(difference("{}", "[]").has_value());
    EXPECT_FALSE(difference("{}", R"({"routes":[{"name":"a"},{"x":1}]})").has_value());
}

}  // namespace
}  // namespace beechpoint::operator_client
