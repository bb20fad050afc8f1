// A group's scenario played: in virtual time in this process, or by real processes of the program.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emulator/group_director.hpp"
#include "emulator/group_world.hpp"

namespace beechpoint::emulator {

struct GroupResults {
    GroupReport report;
    GroupTimes times;
};
using GroupTrace = std::function<void(Millis, const std::string&)>;

GroupPlan planOf(const GroupScenario& scenario);
GroupResults runGroupVirtual(const GroupScenario& scenario, std::uint64_t seed, const GroupTrace& trace = {});
// Many seeds, one after another: what broke in how many of them, and sums.
struct GroupSweep {
    std::uint64_t seeds = 0, restless = 0, handOvers = 0, lateActs = 0, operations = 0, datagrams = 0,
                  mostTerms = 0;
    std::map<std::string, std::uint64_t> broken;  // seeds, by kind
    std::map<std::string, std::uint64_t> faults, met, folders;
    std::vector<std::string> first;  // of each kind: the seed and what it said
};
GroupSweep sweepGroup(const GroupScenario& scenario, std::uint64_t from, std::uint64_t count);
std::string summary(const GroupScenario& scenario, const GroupSweep& sweep);
// For staff to read: what the faults were and what they met, operations by outcome, hand-overs with their times, checks.
std::string summary(const GroupScenario& scenario, std::uint64_t seed, const GroupResults& results);

}  // namespace beechpoint::emulator
