// Real processes of the program in one group, with a relay between them: the short form of the fault bench, by its scenario.
// The long forms are played with `beechpoint-emulate group` (docs/group.md).
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "check.hpp"
#include "emulator/group_real.hpp"
#include "emulator/group_run.hpp"

using namespace beechpoint;
using namespace beechpoint::test;
using namespace beechpoint::emulator;

namespace {

void shortForm(const std::string& program, const std::string& scenarios) {
    std::string folder = std::filesystem::canonical("/proc/self/exe").parent_path() / "group-XXXXXX";
    CHECK(::mkdtemp(folder.data()) != nullptr);
    const GroupScenario scenario = readGroupScenarioFile(scenarios + "/group/short.json");
    GroupResults results;
    {
        GroupReal real(scenario, scenario.seed, program, folder);
        real.trace = [](Millis at, const std::string& line) {
            std::fprintf(stderr, "%9.1f %s\n", at, line.c_str());
        };
        results.report = real.run();
        results.times = real.times();
    }
    std::fprintf(stderr, "%s", summary(scenario, scenario.seed, results).c_str());
    const GroupReport& r = results.report;
    CHECK(r.broken.empty() && r.rested);
    CHECK(r.handOvers >= 4 && r.acts > 1000 && r.longest <= 256);
    CHECK(r.outcomes.contains("yes"));
    // Every fault of the script met somebody.
    for (const char* what : {"kill", "end", "stop", "deaf", "cut", "loss", "old", "upgrade", "failedUpgrade"})
        CHECK(r.faults.contains(what));
    // A holder that was killed: its lease runs out first. One that ends in order hands on at once.
    for (const Millis t : results.times.afterKill) CHECK(t > 1000);
    CHECK(!results.times.afterEnd.empty());
    CHECK(*std::min_element(results.times.afterEnd.begin(), results.times.afterEnd.end()) < 1000);
    std::filesystem::remove_all(folder);
}

// Where the settings forbid messages a group in an operator's file is an error, and no socket is opened.
void isOffWhereMessagesAreForbidden() {
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
        bool refused = false;
        try {
            readOperator(group, config);
        } catch (const BadConfig&) {
            refused = true;
        }
        CHECK(refused != allowed && config.group.has_value() == allowed);
    }
}

// The file that operators start from.
void theExampleIsSound(const std::string& file) {
    std::ifstream in(file);
    const std::string text(std::istreambuf_iterator<char>(in), {});
    Config config;
    config.name = "g1";
    config.peersAllowed = true;
    readOperator(text, config);
    CHECK(config.group && config.group->members.size() == 3 && config.group->proberDuty == "looker-on");
}

}  // namespace

int main(int argc, char** argv) {
    CHECK(argc == 3);
    isOffWhereMessagesAreForbidden();
    theExampleIsSound(std::string(argv[2]) + "/../deploy/group.json");
    shortForm(argv[1], argv[2]);
}
