// What a run leaves behind: its tables and its verdict. Texts are made first and written together, so that
// two runs can be compared without files.
#pragma once

#include <string>
#include <vector>

#include "emulator/rules.hpp"
#include "emulator/world.hpp"

namespace beechpoint::emulator {

// How far a real run fell behind its own clock; a virtual one never does.
struct Lateness {
    std::uint64_t steps = 0;
    Millis p50 = 0, p99 = 0, most = 0;
    bool isVoid = false;  // so late that the run says nothing
};

struct ClassSummary {
    std::string name;
    std::size_t offered = 0, inAim = 0, late = 0, refused = 0, failed = 0;
    Millis p50 = 0, p90 = 0, p99 = 0;  // of the answered ones
    double service() const { return offered ? static_cast<double>(inAim) / static_cast<double>(offered) : 1; }
};

// The load against the script, at worst over all 5 s windows, as a share of what the script states.
struct LoadCheck {
    double all = 0;      // any 5 s window, all classes
    double byClass = 0;  // any 5 s window of a class in which the script states at least 20 queries
    // Over the whole run: work that each place's slices were asked for by the queries' first tries, against
    // what the load states for that place. Who sends it where is the module's business.
    double byPlace = 0;
    bool within(double share) const { return all <= share && byClass <= share; }
};

struct Results {
    std::string events, windows, hosts, rules;  // the files' texts
    std::vector<ClassSummary> classes;
    LoadCheck load;
    Lateness lateness;
    double service = 0;  // worth in aim against worth asked
    std::uint64_t broken = 0;
};

Results collect(const World& world, const RulesChecker& rules, const Lateness& lateness);
// Of all four files' bytes: equal for equal runs.
std::uint64_t hashOf(const Results& results);
// Writes events.jsonl, windows.csv, hosts.csv and rules.json into a folder, which is made where it is
// missing. Throws std::runtime_error, naming the file.
void write(const Results& results, const std::string& folder);
// A few lines for a person.
std::string summary(const Results& results);

}  // namespace beechpoint::emulator
