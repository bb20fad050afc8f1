// Functions of the retry design: draw, width test, failure tree.
#include <gtest/gtest.h>

#include <map>

#include "coordinator/failure_tree.hpp"
#include "coordinator/width.hpp"
#include "core/splitmix.hpp"

namespace beechpoint::coordinator::policy {
namespace {

Scored scored(int server, double s) { return {server, s, 0, s}; }

TEST(WeightedDraw, OddsFallWithScore) {
    const std::vector<Scored> hosts = {scored(0, 1), scored(1, 1.2), scored(2, 2)};
    beechpoint::SplitMix random(7);
    std::map<int, int> drawn;
    constexpr int kDraws = 100000;
    for (int i = 0; i < kDraws; ++i) ++drawn[weightedDraw(hosts, random())];
    const double odds1 = std::pow(1 / 1.2, kOddsPower), odds2 = std::pow(0.5, kOddsPower);
    const double sum = 1 + odds1 + odds2;
    EXPECT_NEAR(drawn[0], kDraws / sum, 500);
    EXPECT_NEAR(drawn[1], kDraws * odds1 / sum, 500);
    EXPECT_NEAR(drawn[2], kDraws * odds2 / sum, 200);
}

TEST(WeightedDraw, EqualScoresHaveEqualOdds) {
    const std::vector<Scored> hosts = {scored(4, 3), scored(5, 3)};
    EXPECT_EQ(weightedDraw(hosts, 0.49), 4);
    EXPECT_EQ(weightedDraw(hosts, 0.51), 5);
}

TEST(Passing, DropsScoresAboveLimitButNeverTheBest) {
    EXPECT_EQ(passing({scored(0, 1), scored(1, kDropAbove + 1)}).size(), 1u);
    const std::vector<Scored> none = passing({scored(3, kDropAbove + 1), scored(4, kDropAbove + 2)});
    ASSERT_EQ(none.size(), 1u);
    EXPECT_EQ(none.front().server, 3);
    EXPECT_TRUE(passing({}).empty());
}

class WidthTest : public testing::Test {
protected:
    std::map<int, std::deque<double>> recent;
    int of(const std::vector<Scored>& hosts, double gain) {
        return width(hosts, gain, [this](int host) -> const std::deque<double>& { return recent[host]; });
    }
};

TEST_F(WidthTest, IsOneWhenOutcomesAgree) {
    recent[0] = recent[1] = std::deque<double>(16, 0.1);
    EXPECT_EQ(of({scored(0, 1), scored(1, 1)}, 0.01), 1);
}

TEST_F(WidthTest, IsTwoWhenSecondHostReducesMeanByTarget) {
    for (int i = 0; i < 16; ++i)
        recent[0].push_back(i % 2 ? 0.1 : 0.5), recent[1].push_back(i % 2 ? 0.5 : 0.1);
    EXPECT_EQ(of({scored(0, 1), scored(1, 1)}, 0.2), 2);  // T(1) = 0.3, T(2) = 0.1
    EXPECT_EQ(of({scored(0, 1), scored(1, 1)}, 0.21), 1);
}

TEST_F(WidthTest, IsLargestWidthThatGains) {
    // The second host gains nothing, the third does: the largest width that gains is used.
    for (int i = 0; i < 16; ++i) {
        recent[0].push_back(0.5), recent[1].push_back(0.5), recent[2].push_back(0.1);
    }
    EXPECT_EQ(of({scored(0, 1), scored(1, 1), scored(2, 1)}, 0.2), 3);
}

TEST_F(WidthTest, IsOneWhenOutcomesAreFew) {
    recent[0] = std::deque<double>(kLeastPairs - 1, 0.5);
    recent[1] = std::deque<double>(16, 0.1);
    EXPECT_EQ(of({scored(0, 1), scored(1, 1)}, 0.1), 1);
}

TEST(FailureTree, RetriesSameHostWhenOnlyOnePasses) {
    const std::vector<Scored> hosts = {scored(7, 1)};
    EXPECT_EQ(nextTarget(hosts, hosts, 7, [](int) { return true; }), 7);
}

TEST(FailureTree, ChoosesNextInRankWhenAllPass) {
    const std::vector<Scored> hosts = {scored(1, 1), scored(2, 1 + 2 * kDegrade), scored(3, 12)};
    EXPECT_EQ(nextTarget(hosts, hosts, 1, [](int host) { return host == 1; }), 2);
    EXPECT_EQ(nextTarget(hosts, hosts, 2, [](int host) { return host < 3; }), 3);
}

TEST(FailureTree, RetriesFirstWhenSomeDroppedAndSecondIsFar) {
    const std::vector<Scored> all = {scored(1, 1), scored(2, 1 + kDegrade), scored(3, 30)};
    const std::vector<Scored> left = {all[0], all[1]};
    EXPECT_EQ(nextTarget(all, left, 1, [](int host) { return host == 1; }), 1);
}

TEST(FailureTree, ChoosesNextWhenSomeDroppedAndSecondIsNear) {
    const std::vector<Scored> all = {scored(1, 1), scored(2, 0.9 + kDegrade), scored(3, 30)};
    const std::vector<Scored> left = {all[0], all[1]};
    EXPECT_EQ(nextTarget(all, left, 1, [](int host) { return host == 1; }), 2);
}

TEST(FailureTree, ChoosesOtherThanFailedWhenAllWereTried) {
    const std::vector<Scored> hosts = {scored(1, 1), scored(2, 2)};
    EXPECT_EQ(nextTarget(hosts, hosts, 1, [](int) { return true; }), 2);
    EXPECT_EQ(nextTarget(hosts, hosts, 2, [](int) { return true; }), 1);
}

TEST(FailureTree, HedgedAttemptsFailOverIndependentlyOnlyWhenErroneous) {
    EXPECT_TRUE(failsOver(0, 1, false));
    EXPECT_FALSE(failsOver(1, 1, false));
    EXPECT_FALSE(failsOver(1, 2, false));
    EXPECT_TRUE(failsOver(1, 2, true));
    EXPECT_TRUE(failsOver(0, 2, false));
}

}  // namespace
}  // namespace beechpoint::coordinator::policy
