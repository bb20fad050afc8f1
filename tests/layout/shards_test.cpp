// Checks answers against known data while slices are moved, split and merged and hosts die, over many seeds.
// Also checks that the simulation detects deliberately broken variants of the protocol.
#include <gtest/gtest.h>

#include <cstdlib>

#include "shards_sim.hpp"

namespace beechpoint::layout {
namespace {

using test::ShardsSim;
using test::SimCounts;
using test::SimFaults;

int seedCount() {  // BEECHPOINT_SEEDS selects the long run: see docs/layout.md
    const char* const given = std::getenv("BEECHPOINT_SEEDS");
    return given ? std::atoi(given) : 200;
}

TEST(Shards, NoAnswerIsWrongForManySeeds) {
    SimCounts total;
    for (int seed = 1; seed <= seedCount(); ++seed) {
        ShardsSim sim(static_cast<std::uint64_t>(seed), {});
        const SimCounts counts = sim.run(8'000);
        ASSERT_EQ(counts.wrongAnswers, 0U) << "seed " << seed << ": " << counts.firstWrongAnswer;
        ASSERT_TRUE(sim.allChangesEnded()) << "seed " << seed;
        ASSERT_EQ(counts.queries, counts.answered + counts.rejected) << "seed " << seed;
        total.queries += counts.queries;
        total.answered += counts.answered;
        total.replanned += counts.replanned;
        total.rejected += counts.rejected;
        total.changesDone += counts.changesDone;
        total.changesUndone += counts.changesUndone;
        total.epochs += counts.epochs;
    }
    std::printf(
        "%llu queries, %llu answered, %llu replanned, %llu rejected; %llu changes done, %llu undone, %llu "
        "epochs\n",
        static_cast<unsigned long long>(total.queries), static_cast<unsigned long long>(total.answered),
        static_cast<unsigned long long>(total.replanned), static_cast<unsigned long long>(total.rejected),
        static_cast<unsigned long long>(total.changesDone),
        static_cast<unsigned long long>(total.changesUndone), static_cast<unsigned long long>(total.epochs));
    EXPECT_GT(total.changesDone, total.queries / 1000);
    EXPECT_GT(total.changesUndone, 0U);
    EXPECT_LT(total.rejected, total.queries / 20);
}

// Each broken variant must produce a wrong answer; otherwise the run above would prove nothing.
TEST(Shards, EveryBrokenVariantIsDetected) {
    const std::vector<std::pair<const char*, SimFaults>> variants = {
        {"target serves before it is complete", {true, false, false}},
        {"source data is dropped while it may still be queried", {false, true, false}},
        {"stale answers are merged", {false, false, true}}};
    for (const auto& [name, faults] : variants) {
        std::uint64_t wrongAnswers = 0;
        for (std::uint64_t seed = 1; seed <= 100 && wrongAnswers == 0; ++seed)
            wrongAnswers += ShardsSim(seed, faults).run(8'000).wrongAnswers;
        EXPECT_GT(wrongAnswers, 0U) << name;
    }
}

}  // namespace
}  // namespace beechpoint::layout
