// A day of faults among the members of one group, as a file says it. The same file is played in virtual time and against
// real processes of the program: group_director.hpp says when what happens, a GroupStage carries it out.
//
//     {"name": "short", "members": 5, "voters": 5, "duties": 3, "folder": false, "seconds": 30, "quietSeconds": 10, "seed": 1,
//      "network": {"delayMs": [1.6, 17], "loss": 0.01, "twice": 0.01, "spoilt": 0.002},
//      "operationsEveryMs": 400,
//      "random": {"everyMs": 900, "weights": {"kill": 3, "stop": 2, "cut": 3}},
//      "script": [{"atS": 5, "what": "kill", "whom": "leader", "forS": 2}]}
//
// what: kill, end (SIGTERM), stop (SIGSTOP), cut (both ways), deaf (hears nothing), mute (is not heard), split (the group
// in two), loss (share), delay (ms), old (datagrams of long ago come again), wiped (kill, and the folder is gone), upgrade (a
// second process beside the first, which is then ended), failedUpgrade (the second one is killed instead).
// whom: leader, holder, gN or any. forS: until it is undone; drawn where absent.
#pragma once

#include <array>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/clock.hpp"

namespace beechpoint::emulator {

struct BadGroupScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct GroupFault {
    Millis at = 0;
    std::string what, whom = "any";
    Millis lasts = -1;  // below 0: drawn
    double amount = 0;  // loss: the share; delay: ms; 0: drawn
};

struct GroupScenario {
    std::string name, about;
    int members = 5, voters = 5, willing = 1000, singletonRoles = 3;
    bool folder = false;
    Millis length = 30'000, quiet = 10'000;
    std::uint64_t seed = 1;
    std::array<double, 2> delayMs{1.6, 17};
    double loss = 0, twice = 0.01, spoilt = 0.002;
    Millis operationsEvery = 400;  // 0: none
    Millis faultEvery = 0;         // 0: the script alone
    std::map<std::string, double> weights;
    std::vector<GroupFault> script;
    // What a run in virtual time breaks on purpose, to show that the checkers find it; no key of the file.
    std::string broken;  // noMargin, forgetsVote, noPreVote, olderTerm, noFence, notProlonged
};
inline constexpr std::array<const char*, 6> kBreakable = {"noMargin",  "forgetsVote", "noPreVote",
                                                          "olderTerm", "noFence",     "notProlonged"};

// Throw BadGroupScenario with one plain line that names the key.
GroupScenario readGroupScenario(const std::string& text);
GroupScenario readGroupScenarioFile(const std::string& path);

}  // namespace beechpoint::emulator
