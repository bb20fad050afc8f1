// Deviations from deterministic runs of the real state machines, singly and in pairs. REPLICA_EXPLORE=long runs every single
// deviation at every point including heartbeats, and pairs (takes minutes); REPLICA_EXPLORE_PAIRS=N adds a second deviation to
// every N-th one.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <limits>
#include <string>

#include "explorer.hpp"

namespace beechpoint::replica::exploration {
namespace {

#ifdef EXPLORE_DENSE
constexpr std::size_t kSingles = 31;
constexpr std::size_t kPairs = 40;
constexpr std::size_t kSeconds = 397;
#else
constexpr std::size_t kSingles = 149;
constexpr std::size_t kPairs = 10;
constexpr std::size_t kSeconds = 997;
#endif

std::size_t numberOf(const char* name, std::size_t usual) {
    const char* wanted = std::getenv(name);
    return wanted ? std::strtoull(wanted, nullptr, 10) : usual;
}

Strides stridesOfThisRun() {
    const char* form = std::getenv("REPLICA_EXPLORE");
    Strides strides;
    strides.single = numberOf("REPLICA_EXPLORE_SINGLES", form ? 1 : kSingles);
    strides.pairFirst = numberOf("REPLICA_EXPLORE_PAIRS", form ? 40 : kPairs);
    strides.pairSecond = numberOf("REPLICA_EXPLORE_SECONDS", form ? 41 : kSeconds);
    if (form)
        for (std::size_t step = 0; step < kSteps; ++step) strides.steps.push_back(static_cast<Step>(step));
    strides.offset = numberOf("REPLICA_EXPLORE_OFFSET", 0);
    return strides;
}

class Exploration : public testing::TestWithParam<std::size_t> {};

TEST_P(Exploration, KeepsInvariantsUnderEveryDeviation) {
    const Scenario& scenario = scenarios()[GetParam()];
    Explorer explorer(stridesOfThisRun(), std::numeric_limits<std::size_t>::max());
    explorer.explore(scenario);
    const Findings& findings = explorer.findings();
    std::cout << scenario.name << ": " << findings.report();
    EXPECT_TRUE(findings.faults.empty());
    EXPECT_TRUE(findings.unfinishedPlans.empty());
    EXPECT_GT(findings.runs, 1u);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Exploration, testing::Range(std::size_t{0}, scenarios().size()));

}  // namespace
}  // namespace beechpoint::replica::exploration
