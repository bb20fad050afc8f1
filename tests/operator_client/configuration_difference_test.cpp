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

TEST(ConfigurationDifference, RejectsWhatIsNoConfiguration) {
    EXPECT_FALSE(difference("{", "{}").has_value());
    EXPECT_FALSE(difference("{}", "[]").has_value());
    EXPECT_FALSE(difference("{}", R"({"routes":[{"name":"a"},{"x":1}]})").has_value());
}

}  // namespace
}  // namespace beechpoint::operator_client
