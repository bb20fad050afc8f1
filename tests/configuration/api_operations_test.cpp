#include "configuration/api_operations.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace beechpoint::configuration {
namespace {

using Operation = std::tuple<std::string, std::string, std::string>;  // id, method, path

std::size_t indentation(const std::string& line) { return line.find_first_not_of(' '); }

std::string trimmedName(const std::string& line) {
    const std::size_t begin = indentation(line);
    return line.substr(begin, line.rfind(':') - begin);
}

// The operations under `paths`, recognised by the indentation of our files: two spaces a level.
std::set<Operation> documentedOperations(const std::string& file) {
    std::ifstream in{std::string{API_FOLDER} + "/" + file};
    EXPECT_TRUE(in) << file;
    std::set<Operation> operations;
    std::string line, path, method;
    bool inPaths = false;
    while (std::getline(in, line)) {
        const std::size_t depth = indentation(line);
        if (depth == std::string::npos) continue;
        if (depth == 0) inPaths = line == "paths:";
        if (!inPaths) continue;
        if (depth == 2) path = trimmedName(line);
        if (depth == 4) method = trimmedName(line);
        const std::string kId = "operationId: ";
        if (depth == 6 && line.compare(depth, kId.size(), kId) == 0) {
            std::transform(method.begin(), method.end(), method.begin(), [](unsigned char character) {
                return static_cast<char>(std::toupper(character));
            });
            EXPECT_TRUE(operations.insert({line.substr(depth + kId.size()), method, path}).second) << line;
            method.clear();
        }
    }
    return operations;
}

// The number of methods under `paths`, with or without an operationId.
std::size_t countMethods(const std::string& file) {
    std::ifstream in{std::string{API_FOLDER} + "/" + file};
    std::size_t count = 0;
    std::string line;
    bool inPaths = false;
    while (std::getline(in, line)) {
        const std::size_t depth = indentation(line);
        if (depth == 0) inPaths = line == "paths:";
        if (inPaths && depth == 4) ++count;
    }
    return count;
}

template <class List>
std::set<Operation> operationsOf(const List& list) {
    std::set<Operation> operations;
    for (const ApiOperation& operation : list)
        EXPECT_TRUE(operations
                        .insert({std::string{operation.id}, std::string{operation.method},
                                 std::string{operation.path}})
                        .second);
    return operations;
}

TEST(ApiOperations, ServedOperationsAreThoseOfControlFile) {
    EXPECT_EQ(documentedOperations("control.openapi.yaml"), operationsOf(kServedOperations));
    EXPECT_EQ(countMethods("control.openapi.yaml"), kServedOperations.size());
}

TEST(ApiOperations, CalledOperationsAreThoseOfHostsFile) {
    EXPECT_EQ(documentedOperations("hosts.openapi.yaml"), operationsOf(kCalledOperations));
    EXPECT_EQ(countMethods("hosts.openapi.yaml"), kCalledOperations.size());
}

TEST(ApiOperations, FindsOperationByMethodAndPath) {
    const auto put = findServedOperation("PUT", "/configuration");
    ASSERT_TRUE(put);
    EXPECT_EQ(put->operation, kPutConfiguration);
    const auto evacuation = findServedOperation("DELETE", "/evacuate/hub-hall");
    ASSERT_TRUE(evacuation);
    EXPECT_EQ(evacuation->operation, kTakeZoneBack);
    EXPECT_EQ(evacuation->parameter, "hub-hall");
}

TEST(ApiOperations, FindsNothingForOtherMethodOrPath) {
    EXPECT_FALSE(findServedOperation("POST", "/configuration"));
    EXPECT_FALSE(findServedOperation("GET", "/configuration/"));
    EXPECT_FALSE(findServedOperation("POST", "/evacuate/"));
    EXPECT_FALSE(findServedOperation("POST", "/evacuate/a/b"));
    EXPECT_FALSE(findServedOperation("GET", "/evacuate/a"));
    EXPECT_FALSE(findServedOperation("GET", "/"));
    EXPECT_FALSE(findServedOperation("GET", ""));
}

}  // namespace
}  // namespace beechpoint::configuration
