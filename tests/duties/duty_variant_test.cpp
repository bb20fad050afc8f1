// Linked with a broken variant: the simulation must report the violation EXPECTED_VIOLATION on at least one seed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "duty_simulation.hpp"

namespace beechpoint::duties {
namespace {

constexpr std::uint64_t kSeeds = 80;

TEST(DutyVariant, IsFound) {
    const char* const expected = std::getenv("EXPECTED_VIOLATION");
    ASSERT_NE(expected, nullptr);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulationSettings settings;
        settings.seed = seed;
        const auto violations = simulateDuties(settings).platformModel.violations();
        const bool isFound = std::ranges::any_of(violations, [expected](const std::string& text) {
            return text.find(expected) != std::string::npos;
        });
        if (!isFound) continue;
        RecordProperty("seed", std::to_string(seed));
        return;
    }
    FAIL() << "not found in " << kSeeds << " seeds: " << expected;
}

}  // namespace
}  // namespace beechpoint::duties
