// To run many seeds manually: DUTY_FIRST=1 DUTY_LAST=5000 build-test/tests/duties/duties_seeds
#include "duty_simulation.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

namespace beechpoint::duties {
namespace {

std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t otherwise) {
    const char* const text = std::getenv(variable);
    return text ? std::stoull(text) : otherwise;
}

TEST(DutySimulation, KeepsRuleOneAndCompletesRecordedWindows) {
    std::size_t failures = 0;
    SimulationResult totals;
    std::size_t accepted = 0;
    std::size_t duplicates = 0;
    std::size_t conflicts = 0;
    std::size_t changes = 0;
    const std::uint64_t first = numberFromEnvironment("DUTY_FIRST", 1);
    const std::uint64_t last = numberFromEnvironment("DUTY_LAST", DUTY_SEEDS);
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        settings.killsGateways = seed % 2 == 0;
        const SimulationResult result = simulateDuties(settings);
        totals.committedIntents += result.committedIntents;
        totals.views += result.views;
        totals.faults += result.faults;
        totals.proposalsLost += result.proposalsLost;
        accepted += result.platformModel.accepted().size();
        duplicates += result.platformModel.duplicates();
        conflicts += result.platformModel.conflicts();
        changes += result.platformModel.holderChanges();
        if (result.platformModel.violations().empty()) continue;
        if (++failures <= 10)
            ADD_FAILURE() << "seed " << seed << ": " << result.platformModel.violations().front() << " ("
                          << result.platformModel.violations().size() << " in all)";
    }
    EXPECT_EQ(failures, 0U);
    EXPECT_GT(changes, 0U);
    EXPECT_GT(duplicates, 0U);
    EXPECT_GT(totals.proposalsLost, 0U);
    fmt::print(
        "seeds {} failed {} views {} faults {} intents {} accepted {} repeats {} conflicts {} holder changes "
        "{}\n",
        last - first + 1, failures, totals.views, totals.faults, totals.committedIntents, accepted,
        duplicates, conflicts, changes);
}

TEST(DutySimulation, CountsAreWithinToleranceWhereNoGatewayIsKilled) {
    std::size_t failures = 0;
    const std::uint64_t first = numberFromEnvironment("DUTY_FIRST", 1);
    const std::uint64_t last = numberFromEnvironment("DUTY_LAST", DUTY_SEEDS / 4);
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        const SimulationResult result = simulateDuties(settings);
        if (result.countErrors.empty()) continue;
        if (++failures <= 10) ADD_FAILURE() << "seed " << seed << ": " << result.countErrors.front();
    }
    fmt::print("seeds {} with counts off {}\n", last - first + 1, failures);
    EXPECT_EQ(failures, 0U);
}

}  // namespace
}  // namespace beechpoint::duties
