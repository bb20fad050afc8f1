// Linked with a broken variant of the code: the histories must report the violation that it causes (EXPECTED_VIOLATION).
#include <gtest/gtest.h>

#include <algorithm>

#include "operator_history.hpp"

namespace beechpoint::control {
namespace {

constexpr std::uint64_t kSeeds = 40;  // as many as the code itself passes

TEST(OperatorVariant, IsDetected) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const HistoryReport report = playHistory(seed);
        if (std::any_of(report.violations.begin(), report.violations.end(), [](const std::string& each) {
                return each.find(EXPECTED_VIOLATION) != std::string::npos;
            }))
            return;
    }
    FAIL() << "no history of " << kSeeds << " shows: " << EXPECTED_VIOLATION;
}

}  // namespace
}  // namespace beechpoint::control
