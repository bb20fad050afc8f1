// A broken variant of the program's code, compiled in, is detected by the runs of the short form.
#include <gtest/gtest.h>

#include <string>

#include "runs.hpp"

namespace beechpoint::simulation {
namespace {

constexpr std::uint64_t kShortSeeds = 24;

// The failure of the first run that fails; empty: none does.
std::string firstFailure() {
    for (std::uint64_t seed = 1; seed <= kShortSeeds; ++seed) {
        World world(optionsOf(seed * 16 + 2));
        playRun(world, drawnFrom({EPISODES}, 2, seed));
        if (world.failed()) return world.failure();
    }
    return {};
}

TEST(SimulationVariant, IsDetected) {
    const std::string failure = firstFailure();
    EXPECT_NE(failure.find(EXPECTED_FAILURE), std::string::npos) << "found: " << failure;
    RecordProperty("failure", failure);
}

}  // namespace
}  // namespace beechpoint::simulation
