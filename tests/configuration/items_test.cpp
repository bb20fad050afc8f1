#include <gtest/gtest.h>

#include <algorithm>

#include "configuration/configuration.hpp"
#include "configuration/configuration_fields.hpp"
#include "examples.hpp"

namespace beechpoint::configuration {
namespace {

using examples::replaced;

TEST(Items, ReadsRouteWithSplit) {
    const Result<Route> result = parseRoute(examples::kSplitRoute);
    ASSERT_TRUE(result) << result.error().text();
    const Route& route = result.value();
    EXPECT_EQ(route.name, "r-split");
    EXPECT_EQ(route.hostname, "ficu95.example");
    EXPECT_EQ(route.pathPrefix, "/lohu930/");
    EXPECT_EQ(route.type, RouteType::streaming);
    EXPECT_DOUBLE_EQ(route.timeoutMs, 5000);
    EXPECT_DOUBLE_EQ(route.targetLatencyMs, 800);
    EXPECT_EQ(route.priorityClass, 1);
    EXPECT_EQ(route.trafficSplit, (std::vector<WeightedBackend>{{"huvo", 90}, {"wuno", 10}}));
    EXPECT_EQ(route.maxAttempts, 1);
    EXPECT_TRUE(route.sessionAffinity);
    EXPECT_FALSE(route.idempotent());
    EXPECT_DOUBLE_EQ(route.gapAimMs, 400);
}

TEST(Items, ReadsRouteWithOneService) {
    const Result<Route> result = parseRoute(examples::kPlainRoute);
    ASSERT_TRUE(result) << result.error().text();
    EXPECT_EQ(result.value().backend, "huvo");
    EXPECT_TRUE(result.value().idempotent());
    EXPECT_EQ(result.value().allowedRegions, std::vector<std::string>{"east"});
}

TEST(Items, ReadsServices) {
    const Result<Service> model = parseService(examples::kModelService);
    ASSERT_TRUE(model) << model.error().text();
    EXPECT_DOUBLE_EQ(model.value().maxConnections, 370);
    ASSERT_TRUE(model.value().inferenceEngine);
    EXPECT_DOUBLE_EQ(model.value().inferenceEngine->cacheTokens, 253713);
    EXPECT_EQ(model.value().inferenceEngine->models, std::vector<ModelName>{{"m"}});
    const Result<Service> plain = parseService(examples::kPlainService);
    ASSERT_TRUE(plain) << plain.error().text();
    EXPECT_FALSE(plain.value().inferenceEngine);
}

TEST(Items, ReadsLimits) {
    const Result<Limits> limits = parseLimits(examples::kLimits);
    ASSERT_TRUE(limits) << limits.error().text();
    EXPECT_DOUBLE_EQ(limits.value().maxBodyBytes, 4194304);
}

struct Tolerated {
    std::string what;
    std::string instead;
};

class ToleratedRoutes : public testing::TestWithParam<Tolerated> {};

// What the protocol does not call invalid is accepted.
TEST_P(ToleratedRoutes, AreParsed) {
    const Result<Route> result =
        parseRoute(replaced(examples::kSplitRoute, GetParam().what, GetParam().instead));
    EXPECT_TRUE(result) << result.error().text();
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, ToleratedRoutes,
    testing::Values(Tolerated{"\"streaming\"", "\"some_new_type\""}, Tolerated{"\"max_attempts\":1,", ""},
                    Tolerated{"\"max_attempts\":1,", "\"max_attempts\":1.0,"},
                    Tolerated{"\"max_attempts\":1,", "\"max_attempts\":null,"},
                    Tolerated{"\"max_attempts\":1,", "\"max_attempts\":1e300,"},
                    Tolerated{"\"priority_class\":1", "\"priority_class\":-1"},
                    Tolerated{"\"timeout_ms\":5000,", ""}, Tolerated{"5000", "0.5"}, Tolerated{"5000", "5e3"},
                    Tolerated{"\"allowed_regions\":[]", "\"allowed_regions\":null"},
                    Tolerated{"\"allowed_regions\":[]", "\"allowed_regions\":[],\"new\":{\"deep\":[1,{}]}"},
                    Tolerated{"\"weight\":90", "\"weight\":0"}, Tolerated{"\"weight\":90", "\"weight\":0.25"},
                    Tolerated{"\"weight\":90", "\"weight\":90,\"note\":1"}, Tolerated{"/lohu930/", "/"},
                    Tolerated{"/lohu930/", "/l\\u00f6\\\"hu/"},
                    Tolerated{"\"max_attempts\":1", "\"backend\":\"huvo\",\"max_attempts\":1"},
                    Tolerated{"\"max_attempts\":1", "\"backend\":null,\"max_attempts\":1"}));

struct InvalidRoute {
    std::string what;
    std::string instead;
    std::string path;
};

class InvalidRoutes : public testing::TestWithParam<InvalidRoute> {};

TEST_P(InvalidRoutes, AreInvalidAtLocationOfMember) {
    const Result<Route> result =
        parseRoute(replaced(examples::kSplitRoute, GetParam().what, GetParam().instead));
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::invalid);
    EXPECT_EQ(result.error().location, GetParam().path);
    EXPECT_FALSE(result.error().remedy.empty());
}

const std::string kSplitMember =
    R"("traffic_split":[{"backend":"huvo","weight":90},{"backend":"wuno","weight":10}],)";

INSTANTIATE_TEST_SUITE_P(
    Kinds, InvalidRoutes,
    testing::Values(
        InvalidRoute{"\"name\":\"r-split\",", "", "/name"}, InvalidRoute{"\"r-split\"", "\"\"", "/name"},
        InvalidRoute{"\"r-split\"", "7", "/name"}, InvalidRoute{"\"r-split\"", "null", "/name"},
        InvalidRoute{"\"r-split\"", "\"" + std::string(257, 'x') + "\"", "/name"},
        InvalidRoute{"\"hostname\":\"ficu95.example\",", "", "/hostname"},
        InvalidRoute{"\"ficu95.example\"", "[]", "/hostname"},
        InvalidRoute{"\"path_prefix\":\"/lohu930/\",", "", "/path_prefix"},
        InvalidRoute{"\"/lohu930/\"", "\"lohu930/\"", "/path_prefix"},
        InvalidRoute{"\"/lohu930/\"", "\"/lohu930\"", "/path_prefix"},
        InvalidRoute{"\"/lohu930/\"", "\"\"", "/path_prefix"}, InvalidRoute{"5000", "0", "/timeout_ms"},
        InvalidRoute{"5000", "0.0", "/timeout_ms"}, InvalidRoute{"5000", "-1", "/timeout_ms"},
        InvalidRoute{"5000", "\"5000\"", "/timeout_ms"}, InvalidRoute{"5000", "true", "/timeout_ms"},
        InvalidRoute{"\"streaming\"", "3", "/type"}, InvalidRoute{"true", "\"true\"", "/session_affinity"},
        InvalidRoute{kSplitMember, "", "/backend"},
        InvalidRoute{kSplitMember, "\"traffic_split\":[],", "/backend"},
        InvalidRoute{kSplitMember, "\"traffic_split\":{},", "/traffic_split"},
        InvalidRoute{kSplitMember, "\"traffic_split\":[7],", "/traffic_split/0"},
        InvalidRoute{kSplitMember, "\"traffic_split\":[{\"weight\":1}],", "/traffic_split/0/backend"},
        InvalidRoute{kSplitMember, "\"traffic_split\":[{\"backend\":\"huvo\",\"weight\":0}],",
                     "/traffic_split"},
        InvalidRoute{kSplitMember, "\"traffic_split\":[{\"backend\":\"huvo\"}],", "/traffic_split"},
        InvalidRoute{"\"weight\":10", "\"weight\":-10", "/traffic_split/1/weight"},
        InvalidRoute{"\"weight\":10", "\"weight\":\"10\"", "/traffic_split/1/weight"},
        InvalidRoute{"\"allowed_regions\":[]", "\"allowed_regions\":[3]", "/allowed_regions/0"}));

template <class Struct>
void expectRulesNameFields() {
    const std::vector<std::string> names = settings::fieldNames<Struct>();
    for (const settings::FieldRule& rule : settings::kFieldRules<Struct>)
        EXPECT_NE(std::find(names.begin(), names.end(), rule.field), names.end()) << rule.field;
}

// A rule on a misspelt field would never be applied.
TEST(Items, EveryRuleNamesAField) {
    expectRulesNameFields<WeightedBackend>();
    expectRulesNameFields<Route>();
    expectRulesNameFields<Service>();
    EXPECT_EQ(settings::fieldNames<InferenceEngine>().at(2), "kv_token_bytes");
}

}  // namespace
}  // namespace beechpoint::configuration
