// Linked with a broken variant of one source file, whose fault the exploration must find.
#include <gtest/gtest.h>

#include <iostream>
#include <vector>

#include "explorer.hpp"

namespace beechpoint::replica::exploration {
namespace {

constexpr std::size_t kRuns = 4'000;
constexpr std::size_t kBatchRuns = 60;  // limit for the pass over batches, which are numerous

// Runs the base runs of all scenarios, then single deviations of some batches, of the agreement and of the remaining steps,
// starting with the last scenario.
TEST(BrokenVariant, IsFound) {
    const std::vector<Step> agreement{Step::vote, Step::voteRecord, Step::decision};
    const std::vector<Strides> passes{Strides{.single = 0}, Strides{.single = 17, .steps = {Step::batch}},
                                      Strides{.single = 3, .steps = agreement},
                                      Strides{.single = 1, .steps = agreement}, Strides{.single = 7}};
    std::size_t runs = 0;
    for (const Strides& strides : passes) {
        const bool batches = strides.steps == std::vector<Step>{Step::batch};
        Explorer explorer(strides, batches ? kBatchRuns : kRuns);
        for (auto scenario = scenarios().rbegin(); scenario != scenarios().rend(); ++scenario)
            explorer.explore(*scenario);
        std::cout << "after " << runs << " runs: " << explorer.findings().report() << std::flush;
        if (!explorer.findings().faults.empty() || !explorer.findings().unfinishedPlans.empty()) return;
        runs += explorer.findings().runs;
    }
    FAIL() << "the exploration did not find the fault of this variant";
}

}  // namespace
}  // namespace beechpoint::replica::exploration
