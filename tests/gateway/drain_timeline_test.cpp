#include "gateway/drain_timeline.hpp"

#include <gtest/gtest.h>

namespace beechpoint::gateway {
namespace {

using Phase = DrainTimeline::Phase;

constexpr Millis kStart = 1'000'000;
constexpr Millis kMayBeBrokenOff =
    3000;  // requests sent later than this may not be broken off at the end of the grace time
constexpr Millis kReadySeenFor = 4000;  // so long after SIGTERM a gateway must not count as ready

DrainTimeline begun(const DrainSettings& settings) {
    DrainTimeline timeline(settings);
    timeline.begin(kStart);
    return timeline;
}

TEST(DrainTimelineTest, AcceptsEveryRequestBeforeSigterm) {
    const DrainTimeline timeline({8000, 2000, 3000});
    EXPECT_EQ(timeline.phase(kStart), Phase::serving);
    EXPECT_TRUE(timeline.accepts(kStart, 1e9));
    EXPECT_TRUE(timeline.listens(kStart));
    EXPECT_FALSE(timeline.ends(kStart, false));
}

TEST(DrainTimelineTest, PassesThroughItsPhasesInOrder) {
    const DrainTimeline timeline = begun({8000, 2000, 3000});
    EXPECT_EQ(timeline.phase(kStart), Phase::leaving);
    EXPECT_EQ(timeline.phase(kStart + 2749), Phase::leaving);
    EXPECT_EQ(timeline.phase(kStart + 2750), Phase::finishing);
    EXPECT_EQ(timeline.phase(kStart + 7599), Phase::finishing);
    EXPECT_EQ(timeline.phase(kStart + 7600), Phase::ended);
}

TEST(DrainTimelineTest, ListensUntilDirectoryAnswersHaveExpired) {
    EXPECT_EQ(begun({8000, 500, 3000}).leavingFor(), 500 + DrainTimeline::kDirectoryLag);
    EXPECT_TRUE(begun({8000, 500, 3000}).listens(kStart + 1999));
    EXPECT_FALSE(begun({8000, 500, 3000}).listens(kStart + 2000));
}

TEST(DrainTimelineTest, AcceptsWhileFinishingOnlyRequestsThatEndBeforeIt) {
    const DrainTimeline timeline = begun({8000, 2000, 3000});
    EXPECT_TRUE(timeline.accepts(kStart + 2749, 15'000));
    EXPECT_TRUE(timeline.accepts(kStart + 2750, 4850));
    EXPECT_FALSE(timeline.accepts(kStart + 2750, 4851));
    EXPECT_TRUE(timeline.accepts(kStart + 7000, 600));
    EXPECT_FALSE(timeline.accepts(kStart + 7000, 601));
}

TEST(DrainTimelineTest, EndsWhenIdleOnlyAfterSeedLag) {
    const DrainTimeline timeline = begun({8000, 2000, 3000});
    EXPECT_FALSE(timeline.ends(kStart + 3499, false));
    EXPECT_TRUE(timeline.ends(kStart + 3500, false));
    EXPECT_FALSE(timeline.ends(kStart + 7599, true));
    EXPECT_TRUE(timeline.ends(kStart + 7600, true));
}

TEST(DrainTimelineTest, IgnoresSecondSigterm) {
    DrainTimeline timeline = begun({8000, 2000, 3000});
    timeline.begin(kStart + 5000);
    EXPECT_EQ(timeline.phase(kStart + 5000), Phase::finishing);
}

// Whatever a deployment states, the rules' own figures hold.
TEST(DrainTimelineTest, KeepsPhaseOrderForOtherSettings) {
    for (const Millis grace : {200.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0, 20'000.0, 60'000.0}) {
        for (const Millis ttl : {0.0, 500.0, 2000.0, 10'000.0}) {
            for (const Millis lag : {0.0, 1000.0, 3000.0, 10'000.0}) {
                const DrainTimeline timeline = begun({grace, ttl, lag});
                SCOPED_TRACE(testing::Message() << "grace " << grace << " ttl " << ttl << " lag " << lag);
                EXPECT_LT(timeline.leavingFor(), kMayBeBrokenOff);
                EXPECT_LT(timeline.leavingFor(), kReadySeenFor);
                EXPECT_LE(timeline.leavingFor(), grace / 2);
                EXPECT_LE(timeline.leavingFor(), timeline.mayEndAfter());
                EXPECT_LE(timeline.mayEndAfter(), timeline.endsAfter());
                EXPECT_LT(timeline.endsAfter(), grace);
            }
        }
    }
}

}  // namespace
}  // namespace beechpoint::gateway
