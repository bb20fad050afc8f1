// The module's limits, which the users' auditor relies on.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace {

// All files of the module: the co-ordinator and the pieces of the retry design.
std::vector<std::filesystem::path> moduleFiles() {
    std::vector<std::filesystem::path> files = {FIRKEEL_ROOT "/src/logic.cpp"};
    for (const auto& entry : std::filesystem::recursive_directory_iterator(FIRKEEL_ROOT "/src/policy"))
        if (entry.is_regular_file()) files.push_back(entry.path());
    return files;
}

}  // namespace

TEST(ModuleLimits, LinesAndWidth) {
    std::string head;
    int count = 0;
    for (const std::filesystem::path& path : moduleFiles()) {
        std::ifstream module(path);
        ASSERT_TRUE(module) << path;
        std::string line;
        int number = 0;
        while (std::getline(module, line)) {
            ++number;
            if (path.filename() == "logic.cpp" && number <= 3) head += line;
            EXPECT_LE(line.size(), 110u) << path << " line " << number;
            if (line.find_first_not_of(" \t\r") != std::string::npos) ++count;
        }
    }
    EXPECT_GT(count, 0);
    EXPECT_LE(count, 970);
    EXPECT_NE(head.find("include/firkeel/coordinator.hpp"), std::string::npos);
}
