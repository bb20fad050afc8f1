// Reading the configuration and the operators' file.
#include "config.hpp"

#include <gtest/gtest.h>

#include "gatherer_fixture.hpp"

using namespace beechpoint;
using namespace beechpoint::test;

namespace {

bool isAccepted(const std::string& operatorFile) {
    Config config;
    config.settings = settings();
    try {
        readOperator(operatorFile, config);
    } catch (const BadConfig&) {
        return false;
    }
    return true;
}

TEST(OperatorFile, IsAcceptedOrRejectedByItsKeys) {
    EXPECT_TRUE(isAccepted("{}"));
    EXPECT_TRUE(isAccepted(R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{"p":"pallet-lookup"}}})"));
    for (const char* bad : {"", "[]", R"({"odd":{}})", R"({"opensearch":{}})", R"({"opensearch":7})",
                            R"({"opensearch":{"listen":"x","indexes":{}}})",
                            R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{"p":"none"}}})",
                            R"({"opensearch":{"listen":"127.0.0.1:0","indexes":{},"trackHosts":"odd"}})"})
        EXPECT_FALSE(isAccepted(bad)) << bad;
}

TEST(ConfigurationFile, IsRejectedWithTheMissingKeysName) {
    std::string error;
    try {
        readConfig("{\"name\":\"n\"}", Clock());
    } catch (const BadConfig& bad) {
        error = bad.what();
    }
    EXPECT_EQ(error, "key listen is missing");
}

}  // namespace
