#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/splitmix.hpp"
#include "dispatch/retry_budget.hpp"
#include "dispatch/sliding_count.hpp"

namespace beechpoint::dispatch {
namespace {

TEST(SlidingCount, BoundsTrueCountFromBothSidesWithRandomEvents) {
    SplitMix random(3);
    SlidingCount upper(1000, SlidingCount::Edge::upper), lower(1000, SlidingCount::Edge::lower);
    std::vector<Millis> events;
    Millis now = 0;
    for (int i = 0; i < 20000; ++i) {
        now += random() * 5;
        upper.add(now);
        lower.add(now);
        events.push_back(now);
        const auto exact = static_cast<std::uint64_t>(
            events.end() - std::lower_bound(events.begin(), events.end(), now - 1000));
        ASSERT_GE(upper.count(now), exact);
        ASSERT_LE(lower.count(now), exact);
        ASSERT_LE(upper.count(now) - lower.count(now), 20u);
    }
}

TEST(RetryBudget, HasNoSlackWhenFleetIsUnknown) {
    RetryBudget budget({0.2, 10000, 100});
    EXPECT_FALSE(budget.allows(1));
    budget.setFleet(4, true);
    EXPECT_TRUE(budget.allows(1));
    budget.setFleet(4, false);
    EXPECT_FALSE(budget.allows(1));
}

TEST(RetryBudget, GrowsWithRequestsAndStaysSpentWithinWindow) {
    RetryBudget budget({0.2, 10000, 0});
    budget.setFleet(1, true);
    for (int i = 0; i < 100; ++i) budget.recordRequest(i);
    int retryCount = 0;
    while (budget.allows(100)) budget.spend(100), ++retryCount;
    EXPECT_EQ(retryCount, 10);  // half of the ratio
    EXPECT_FALSE(budget.allows(9000));
}

// With half as many gateways again as are known and random traffic, the retries of all gateways together stay
// within the budget in every window.
TEST(RetryBudgetProperty, SumOverGatewaysStaysUnderBudgetWithRandomTraffic) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        SplitMix random(seed);
        const int known = 1 + static_cast<int>(random.below(8));
        const int actual = known + known / 2;
        const RetryBounds bounds{0.05 + 0.3 * random(), 10000, 60 * random()};
        std::vector<RetryBudget> budgets(static_cast<std::size_t>(actual), RetryBudget(bounds));
        for (RetryBudget& budget : budgets) budget.setFleet(known, true);
        std::vector<Millis> requests, retries;
        double requestProbability = 0.05;
        for (Millis now = 0; now < 40000; now += 5) {
            if (static_cast<int>(now) % 4000 == 0) requestProbability = random() * random();
            for (RetryBudget& budget : budgets) {
                if (random() < requestProbability) budget.recordRequest(now), requests.push_back(now);
                if (random() < 0.3 && budget.allows(now)) {
                    budget.spend(now);
                    retries.push_back(now + 100 * random());  // arrival time
                }
            }
        }
        std::sort(retries.begin(), retries.end());
        const auto countWithin = [](const std::vector<Millis>& times, Millis from, Millis to) {
            return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) -
                                       std::lower_bound(times.begin(), times.end(), from));
        };
        for (const Millis start : retries) {
            const Millis window = bounds.window;
            const double maxRequests = std::max(
                {countWithin(requests, start, start + window), countWithin(requests, start - window, start),
                 countWithin(requests, start - window / 2, start + window / 2)});
            ASSERT_LE(countWithin(retries, start, start + window), bounds.ratio * maxRequests + bounds.slack)
                << "seed " << seed << " at " << start;
        }
    }
}

}  // namespace
}  // namespace beechpoint::dispatch
