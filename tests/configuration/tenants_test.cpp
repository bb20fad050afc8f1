// The rules on a configuration's tenants: who may hold which key, what is stored and shown again, and that no error quotes a key.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "configuration/editing.hpp"
#include "configuration/stored_item.hpp"
#include "examples.hpp"

namespace beechpoint::configuration {
namespace {

using namespace examples;
using nlohmann::json;

constexpr const char* kTenants =
    R"([{"name":"alder","api_keys":["secret-a","secret-a2"]},{"name":"birch","api_keys":["secret-b"]}])";

std::string withTenants(unsigned revision, std::string_view tenants) {
    return replaced(completeConfiguration(revision), "\"routes\"",
                    fmt::format(R"("tenants":{},"routes")", tenants));
}

std::string upsert(std::string_view tenants, std::string_view removed = "") {
    return fmt::format(R"({{"revision":9,"upsert":{{"tenants":{}}},"remove":{{"tenants":[{}]}}}})", tenants,
                       removed);
}

Table tableWithTenants() {
    Table table;
    applyAccepted(table, putConfiguration(table, "0", withTenants(7, kTenants)));
    return table;
}

json tenantsOf(const Table& table) { return json::parse(renderConfiguration(table)).at("tenants"); }

// Invalid at this place; the text says what to do and quotes no key.
void expectInvalid(const Result<Decision>& decision, const std::string& location) {
    ASSERT_FALSE(decision);
    const Error& error = decision.error();
    EXPECT_EQ(error.kind, ErrorKind::invalid);
    EXPECT_EQ(error.location, location) << error.text();
    EXPECT_FALSE(error.remedy.empty());
    EXPECT_EQ(error.text().find("secret"), std::string::npos) << error.text();
}

TEST(Tenants, AreShownAsSent) {
    const std::string sent =
        R"([{"api_keys":["secret-a"],"name":"alder","priority_class":2,"allowed_regions":["east"],)"
        R"("not_known":{"x":[1.5,null]}},{"name":"birch"}])";
    Table table;
    applyAccepted(table, putConfiguration(table, "0", withTenants(7, sent)));
    EXPECT_NE(renderConfiguration(table).find(R"("tenants":)" + sent), std::string::npos);
    applyAccepted(table, patchConfiguration(table, "7", R"({"revision":9})"));
    EXPECT_NE(renderConfiguration(table).find(R"("tenants":)" + sent), std::string::npos);
}

TEST(Tenants, ConfigSharedKeyIsInvalidInAPut) {
    expectInvalid(putConfiguration({}, "0",
                                   withTenants(7, R"([{"name":"a","api_keys":["secret-1"]},{"name":"b"},)"
                                                  R"({"name":"c","api_keys":["secret-2","secret-1"]}])")),
                  "/tenants/2/api_keys/1");
}

TEST(Tenants, ConfigSharedKeyIsInvalidInAPatch) {
    const Table table = tableWithTenants();
    expectInvalid(patchConfiguration(table, "7", upsert(R"([{"name":"fir","api_keys":["x","secret-b"]}])")),
                  "/upsert/tenants/0/api_keys/1");
    expectInvalid(patchConfiguration(table, "7", upsert(R"([{"name":"alder","api_keys":["secret-b"]}])")),
                  "/upsert/tenants/0/api_keys/0");
    expectInvalid(patchConfiguration(table, "7",
                                     upsert(R"([{"name":"fir","api_keys":["secret-f"]},)"
                                            R"({"name":"elm","api_keys":["secret-f"]}])")),
                  "/upsert/tenants/1/api_keys/0");
    expectInvalid(
        patchConfiguration(table, "7", upsert(R"([{"name":"fir","api_keys":["secret-a"]}])", R"("birch")")),
        "/upsert/tenants/0/api_keys/0");
}

TEST(Tenants, ConfigRefusedTenantsChangeNothing) {
    Table table = tableWithTenants();
    const std::string before = renderConfiguration(table);
    ASSERT_FALSE(patchConfiguration(table, "7", upsert(R"([{"name":"fir","api_keys":["secret-b"]}])")));
    EXPECT_EQ(renderConfiguration(table), before);
    applyAccepted(table, patchConfiguration(table, "7", upsert(R"([{"name":"fir","api_keys":["f"]}])")));
}

TEST(Tenants, KeyListedTwiceByOneTenantIsAllowed) {
    Table table;
    applyAccepted(table,
                  putConfiguration(table, "0", withTenants(7, R"([{"name":"a","api_keys":["k","k"]}])")));
    EXPECT_EQ(tenantsOf(table), json::parse(R"([{"name":"a","api_keys":["k","k"]}])"));
}

TEST(Tenants, PatchReplacesTenantsInPlaceAppendsAndRemoves) {
    Table table = tableWithTenants();
    applyAccepted(table, patchConfiguration(table, "7",
                                            upsert(R"([{"name":"fir","api_keys":["secret-f"]},)"
                                                   R"({"name":"alder","api_keys":["secret-a3"]}])")));
    EXPECT_EQ(tenantsOf(table),
              json::parse(R"([{"name":"alder","api_keys":["secret-a3"]},{"name":"birch",)"
                          R"("api_keys":["secret-b"]},{"name":"fir","api_keys":["secret-f"]}])"));
    applyAccepted(table,
                  patchConfiguration(table, "9", R"({"revision":10,"remove":{"tenants":["birch","none"]}})"));
    EXPECT_EQ(
        tenantsOf(table),
        json::parse(R"([{"name":"alder","api_keys":["secret-a3"]},{"name":"fir","api_keys":["secret-f"]}])"));
}

TEST(Tenants, KeyMovesToAnotherTenantInOnePatch) {
    Table table = tableWithTenants();
    applyAccepted(table, patchConfiguration(table, "7",
                                            upsert(R"([{"name":"birch","api_keys":["secret-a"]},)"
                                                   R"({"name":"alder","api_keys":["secret-b"]}])")));
    EXPECT_EQ(tenantsOf(table), json::parse(R"([{"name":"alder","api_keys":["secret-b"]},)"
                                            R"({"name":"birch","api_keys":["secret-a"]}])"));
}

TEST(Tenants, KeyOfARemovedTenantMayBeTakenInTheSamePatch) {
    Table table = tableWithTenants();
    applyAccepted(
        table,
        patchConfiguration(table, "7", upsert(R"([{"name":"fir","api_keys":["secret-b"]}])", R"("birch")")));
    EXPECT_EQ(tenantsOf(table).size(), 2u);
}

TEST(Tenants, NullMeansNone) {
    Table table;
    applyAccepted(table, putConfiguration(table, "0", withTenants(7, "null")));
    EXPECT_FALSE(table.contains(std::string(kTenantsKey)));
    table = tableWithTenants();
    const json before = tenantsOf(table);
    applyAccepted(table, patchConfiguration(table, "7", R"({"revision":9,"upsert":{"tenants":null}})"));
    EXPECT_EQ(tenantsOf(table), before) << "an absent part of a patch changes nothing";
}

TEST(Tenants, PutWithoutTenantsTakesThemAway) {
    Table table = tableWithTenants();
    applyAccepted(table, putConfiguration(table, "7", completeConfiguration(9)));
    EXPECT_FALSE(table.contains(std::string(kTenantsKey)));
    EXPECT_EQ(renderConfiguration(table), completeConfiguration(9));
}

TEST(Tenants, EmptyListIsKept) {
    Table table;
    applyAccepted(table, putConfiguration(table, "0", withTenants(7, "[]")));
    EXPECT_EQ(tenantsOf(table), json::array());
}

struct InvalidTenants {
    std::string name;
    std::string tenants;
    std::string path;  // below the list
};

void PrintTo(const InvalidTenants& invalid, std::ostream* out) { *out << invalid.name; }

class InvalidTenantLists : public testing::TestWithParam<InvalidTenants> {};

TEST_P(InvalidTenantLists, ConfigInvalidTenantsAreRefusedWhereTheFaultIs) {
    const InvalidTenants& invalid = GetParam();
    expectInvalid(putConfiguration({}, "0", withTenants(7, invalid.tenants)), "/tenants" + invalid.path);
    Table empty;
    applyAccepted(empty, putConfiguration(empty, "0", completeConfiguration(7)));
    expectInvalid(patchConfiguration(empty, "7", upsert(invalid.tenants)), "/upsert/tenants" + invalid.path);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, InvalidTenantLists,
    testing::Values(
        InvalidTenants{"text", R"("secret")", ""}, InvalidTenants{"number", "7", ""},
        InvalidTenants{"object", R"({"a":{"api_keys":["secret"]}})", ""},
        InvalidTenants{"itemText", R"(["secret"])", "/0"},
        InvalidTenants{"itemNull", R"([{"name":"a"},null])", "/1"},
        InvalidTenants{"noName", R"([{"api_keys":["secret"]}])", "/0/name"},
        InvalidTenants{"emptyName", R"([{"name":"","api_keys":["secret"]}])", "/0/name"},
        InvalidTenants{"nameNumber", R"([{"name":7,"api_keys":["secret"]}])", "/0/name"},
        InvalidTenants{"keysText", R"([{"name":"a","api_keys":"secret"}])", "/0/api_keys"},
        InvalidTenants{"keysObject", R"([{"name":"a","api_keys":{"secret":1}}])", "/0/api_keys"},
        InvalidTenants{"keyNumber", R"([{"name":"a","api_keys":["secret",7]}])", "/0/api_keys/1"},
        InvalidTenants{"keyNull", R"([{"name":"a","api_keys":[null]}])", "/0/api_keys/0"},
        InvalidTenants{"priorityText", R"([{"name":"a","priority_class":"secret"}])", "/0/priority_class"},
        InvalidTenants{"regionNumber", R"([{"name":"a","allowed_regions":[7]}])", "/0/allowed_regions/0"}),
    [](const auto& tested) { return tested.param.name; });

TEST(Tenants, ConfigNameOnTwoTenantsIsInvalid) {
    expectInvalid(putConfiguration({}, "0",
                                   withTenants(7, R"([{"name":"a","api_keys":["secret-1"]},)"
                                                  R"({"name":"a","api_keys":["secret-2"]}])")),
                  "/tenants/1/name");
}

TEST(Tenants, UnaskedNamesThatDoNotFitAHeaderAreInvalid) {
    for (const char* name : {R"(a\r\nX-Attempt-Id: z)", R"(a\nb)", R"(a\u0000)", R"(\ta)", " a", "a ", " "}) {
        const std::string list = fmt::format(R"([{{"name":"{}","api_keys":["secret"]}}])", name);
        expectInvalid(putConfiguration({}, "0", withTenants(7, list)), "/tenants/0/name");
        EXPECT_EQ(parseTenants(list)->unreadable, 1u) << name;
    }
    Table table;
    applyAccepted(table, putConfiguration(table, "0", withTenants(7, R"([{"name":"Bär & Söhne, 2"}])")));
}

TEST(Tenants, AreAppliedOnceUnderOneRevision) {
    Table table = tableWithTenants();
    EXPECT_TRUE(alreadyApplied(putConfiguration(table, "0", withTenants(7, kTenants))));
    const std::string others = replaced(kTenants, "secret-b", "secret-c");
    EXPECT_FALSE(alreadyApplied(putConfiguration(table, "0", withTenants(7, others))));
    const std::string body = upsert(R"([{"name":"fir","api_keys":["secret-f"]}])");
    applyAccepted(table, patchConfiguration(table, "7", body));
    EXPECT_TRUE(alreadyApplied(patchConfiguration(table, "7", body)));
    EXPECT_EQ(tenantsOf(table).size(), 3u);
}

TEST(Tenants, OfOldTablesAreReadAsFarAsTheyGo) {
    const auto list = parseTenants(R"([{"name":"a","api_keys":["k"]},{"name":7},7])");
    ASSERT_TRUE(list);
    ASSERT_EQ(list->tenants.size(), 1u);
    EXPECT_EQ(list->tenants[0].apiKeys, std::vector<std::string>{"k"});
    EXPECT_EQ(list->unreadable, 2u);
    EXPECT_FALSE(parseTenants("{}"));
    EXPECT_FALSE(parseTenants("["));
}

}  // namespace
}  // namespace beechpoint::configuration
