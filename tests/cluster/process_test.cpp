// Real processes of the program in one group, with a relay between them: the short form of the fault bench,
// by its scenario.
// The long forms are run with `beechpoint-emulate group` (docs/group.md).
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "config.hpp"
#include "emulator/group_real.hpp"
#include "emulator/group_run.hpp"

using namespace beechpoint;
using namespace beechpoint::emulator;

namespace {

// A group in an operators' file is an error then, and no socket is opened.
TEST(GroupSettings, AreRejectedWhenPeerMessagesAreForbidden) {
    const Clock clock;
    const std::string base =
        R"({"name":"g0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","peers":{},)"
        R"("known":{"generation":1,"reset":true,"instances":[]},"settings":{"classes":[{"name":"c","promise":1000000000,)"
        R"("deadline":2000000000,"effect":"safe"}],"familyInfo":{"shards":4,"cells":2,"span":2,"bundleMax":1},)"
        R"("permissions":{"maxAttempts":3,"peerMessages":@},"rules":{}}})";
    const std::string group =
        R"({"group":{"listen":"127.0.0.1:0","members":{"g0":"127.0.0.1:1","g1":"127.0.0.1:2"},"voters":["g0"]}})";
    for (const bool allowed : {true, false}) {
        std::string text = base;
        text.replace(text.find('@'), 1, allowed ? "true" : "false");
        Config config = readConfig(text, clock);
        if (allowed)
            EXPECT_NO_THROW(readOperator(group, config));
        else
            EXPECT_THROW(readOperator(group, config), BadConfig);
        ASSERT_EQ(config.group.has_value(), allowed);
    }
}

// The file that operators start from.
TEST(GroupSettings, AreReadFromTheDeployedExample) {
    std::ifstream file(BEECHPOINT_SCENARIOS "/../deploy/group.json");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    Config config;
    config.name = "g1";
    config.peersAllowed = true;
    readOperator(text, config);
    ASSERT_TRUE(config.group);
    ASSERT_EQ(config.group->members.size(), 3);
    EXPECT_EQ(config.group->proberDuty, "looker-on");
}

TEST(GroupProcesses, KeepTheRulesWhenEveryFaultOfTheScenarioOccurs) {
    std::string folder = std::filesystem::canonical("/proc/self/exe").parent_path() / "group-XXXXXX";
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    const GroupScenario scenario = readGroupScenarioFile(BEECHPOINT_SCENARIOS "/group/short.json");
    GroupResults results;
    {
        GroupReal real(scenario, scenario.seed, BEECHPOINT_PROGRAM, folder);
        real.trace = [](Millis at, const std::string& line) {
            std::fprintf(stderr, "%9.1f %s\n", at, line.c_str());
        };
        results.report = real.run();
        results.times = real.times();
    }
    std::fprintf(stderr, "%s", summary(scenario, scenario.seed, results).c_str());
    const GroupReport& report = results.report;
    EXPECT_TRUE(report.broken.empty());
    EXPECT_TRUE(report.rested);
    EXPECT_GE(report.handOvers, 4);
    EXPECT_GT(report.acts, 1000);
    EXPECT_LE(report.longest, 256);
    EXPECT_TRUE(report.outcomes.contains("yes"));
    // Every fault of the script took place.
    for (const char* what : {"kill", "end", "stop", "deaf", "cut", "loss", "old", "upgrade", "failedUpgrade"})
        EXPECT_TRUE(report.faults.contains(what));
    // The lease of a holder that was killed runs out first; one that ends in order hands it on at once.
    for (const Millis t : results.times.afterKill) EXPECT_GT(t, 1000);
    ASSERT_FALSE(results.times.afterEnd.empty());
    EXPECT_LT(*std::min_element(results.times.afterEnd.begin(), results.times.afterEnd.end()), 1000);
    std::filesystem::remove_all(folder);
}

}  // namespace
