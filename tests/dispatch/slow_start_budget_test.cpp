#include "dispatch/slow_start_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/splitmix.hpp"

namespace beechpoint::dispatch {
namespace {

TEST(SlowStartShare, IsZeroWhenFleetIsUnknownOrBoundBelowOne) {
    EXPECT_EQ(SlowStartShare(20, 1, false, 0).perSpan(), 0);
    EXPECT_EQ(SlowStartShare(0.5, 1, true, 0).perSpan(), 0);
}

TEST(SlowStartShare, DividesBoundWithMarginForUnknownGateways) {
    EXPECT_EQ(SlowStartShare(20, 8, true, 0).perSpan(), 1);
    EXPECT_EQ(SlowStartShare(20, 2, true, 0).perSpan(), 6);
    EXPECT_EQ(SlowStartShare(20, 1, true, 0).perSpan(), 10);
}

TEST(SlowStartShare, IsOneForLowRanksOnlyWhenGatewaysExceedBound) {
    EXPECT_EQ(SlowStartShare(20, 50, true, 5).perSpan(), 1);
    EXPECT_EQ(SlowStartShare(20, 50, true, 6).perSpan(), 0);
    EXPECT_EQ(SlowStartShare(20, 50, true, -1).perSpan(), 0);
}

TEST(SlowStartLog, AllowsAgainWhenSpanHasPassed) {
    const SlowStartShare share(20, 4, true, 0);
    ASSERT_EQ(share.perSpan(), 3);
    SlowStartLog log;
    for (const Millis at : {0.0, 100.0, 200.0}) log.recordSend(at);
    EXPECT_FALSE(log.allows(300, share));
    EXPECT_EQ(log.nextAllowedAt(300, share), SlowStartShare::kSpan);
    EXPECT_TRUE(log.allows(SlowStartShare::kSpan, share));
}

// With half as many gateways again as are known and random sends, the sends of all gateways together stay
// within the bound in every second.
TEST(SlowStartBudgetProperty, SumOverGatewaysStaysUnderBoundWithRandomSends) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SplitMix random(seed);
        const int known = 1 + static_cast<int>(random.below(40));
        const int actual = known + known / 2;
        const double bound = 1 + 30 * random();
        std::vector<SlowStartLog> logs(static_cast<std::size_t>(actual));
        std::vector<Millis> sends;
        for (Millis now = 0; now < 6000; now += 2) {
            for (int gateway = 0; gateway < actual; ++gateway) {
                const SlowStartShare share(bound, known, true, gateway % known);
                SlowStartLog& log = logs[static_cast<std::size_t>(gateway)];
                if (random() > 0.05 || !log.allows(now, share)) continue;
                log.recordSend(now);
                sends.push_back(now + 250 * random());  // time of the write
            }
        }
        std::sort(sends.begin(), sends.end());
        for (std::size_t i = 0; i < sends.size(); ++i) {
            const auto end = std::upper_bound(sends.begin(), sends.end(), sends[i] + 1000);
            ASSERT_LE(static_cast<double>(end - sends.begin()) - static_cast<double>(i), bound)
                << "seed " << seed;
        }
    }
}

}  // namespace
}  // namespace beechpoint::dispatch
