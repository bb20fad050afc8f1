#include <gtest/gtest.h>

#include <string>

#include "duties/usage_collector.hpp"
#include "duties/usage_counter.hpp"

namespace beechpoint::duties {
namespace {

constexpr Millis kWindow = 5000;
constexpr Millis kLongest = 5000;

Millis middleOf(WindowNumber window) { return windowEnd(window, kWindow) - kWindow / 2; }

UsageReport report(const std::string& gateway, std::uint64_t session, WindowNumber window,
                   std::uint64_t count, Millis coveredUntil) {
    return {gateway, session, coveredUntil, {{window, {{"a", count}}}}};
}

TEST(UsageWindow, BeginsAtItsNumberTimesTheLength) {
    EXPECT_EQ(windowAt(0, kWindow), 0U);
    EXPECT_EQ(windowAt(-5, kWindow), 0U);
    EXPECT_EQ(windowAt(4999.9, kWindow), 0U);
    EXPECT_EQ(windowAt(5000, kWindow), 1U);
    EXPECT_EQ(windowEnd(1, kWindow), 10000);
}

TEST(UsageCounter, ReportsTotalsThatTheHolderLacks) {
    UsageCounter counter(kWindow);
    EXPECT_TRUE(counter.unreported(1).empty());
    counter.add("a", middleOf(7));
    counter.add("a", middleOf(7));
    counter.add("b", middleOf(8));
    const std::vector<WindowCounts> all{{7, {{"a", 2}}}, {8, {{"b", 1}}}};
    EXPECT_EQ(counter.unreported(1), all);
    EXPECT_EQ(counter.unreported(1), all) << "not acknowledged: again";
    counter.add("a", middleOf(7));
    counter.onAcknowledged(1, 0);
    EXPECT_EQ(counter.unreported(1), (std::vector<WindowCounts>{{7, {{"a", 3}}}}))
        << "counted after it was sent";
    counter.onAcknowledged(1, 0);
    EXPECT_TRUE(counter.unreported(1).empty());
}

TEST(UsageCounter, AnotherHolderGetsEverythingNotRecorded) {
    UsageCounter counter(kWindow);
    counter.add("a", middleOf(7));
    counter.add("a", middleOf(8));
    EXPECT_EQ(counter.unreported(1).size(), 2U);
    counter.onAcknowledged(1, 8);
    EXPECT_EQ(counter.unreported(2), (std::vector<WindowCounts>{{8, {{"a", 1}}}}));
    counter.onAcknowledged(1, 0);
    EXPECT_EQ(counter.unreported(2).size(), 1U) << "an earlier holder's answer says nothing of this one";
}

TEST(UsageCounter, DropsAndCountsAtItsBounds) {
    UsageCounter counter(kWindow);
    for (WindowNumber window = 1; window <= UsageCounter::kMaxWindows + 2; ++window)
        counter.add("a", middleOf(window));
    EXPECT_EQ(counter.droppedWindows(), 2U);
    const auto windows = counter.unreported(1);
    ASSERT_EQ(windows.size(), UsageCounter::kMaxWindows);
    EXPECT_EQ(windows.front().window, 3U);

    UsageCounter tenants(kWindow);
    for (std::size_t tenant = 0; tenant < UsageCounter::kMaxTenants + 3; ++tenant)
        tenants.add(std::to_string(tenant), middleOf(1));
    tenants.add("0", middleOf(1));
    EXPECT_EQ(tenants.uncountedRequests(), 3U);
    EXPECT_EQ(tenants.unreported(1).front().counts.size(), UsageCounter::kMaxTenants);
    EXPECT_EQ(tenants.unreported(1).front().counts.at("0"), 2U);
}

TEST(UsageCounter, ARequestOfARecordedWindowIsUncounted) {
    UsageCounter counter(kWindow);
    counter.onAcknowledged(0, 8);
    counter.add("a", middleOf(7));
    EXPECT_EQ(counter.uncountedRequests(), 1U);
    EXPECT_TRUE(counter.unreported(0).empty());
}

const std::vector<std::pair<std::string, std::uint64_t>> kLive{{"g1", 1}, {"g2", 1}};

TEST(UsageCollector, AWindowWaitsForGatherTimeAndForLiveGateways) {
    UsageCollector collector(kWindow, kLongest);
    const Millis end = windowEnd(7, kWindow);
    EXPECT_FALSE(collector.nextWindow(std::nullopt, end + 9000, kLongest, kLive))
        << "nothing is counted, nothing recorded";
    EXPECT_TRUE(collector.add(report("g1", 1, 7, 3, end)));
    EXPECT_FALSE(collector.nextWindow(std::nullopt, end + kLongest - 1, kLongest, kLive))
        << "g2 has not reported";
    EXPECT_FALSE(collector.nextWindow(std::nullopt, end + kLongest, kLongest - 1, kLive)) << "a new holder";
    EXPECT_TRUE(collector.nextWindow(std::nullopt, end + kLongest, kLongest, kLive));
    EXPECT_TRUE(
        collector.nextWindow(std::nullopt, end + UsageCollector::kMinGatherTime, kLongest, {{"g1", 1}}));
    EXPECT_TRUE(collector.add(report("g2", 1, 7, 4, end - 1)));
    EXPECT_FALSE(collector.nextWindow(std::nullopt, end + kLongest - 1, kLongest, kLive))
        << "g2 does not cover the window";
    EXPECT_TRUE(collector.add({"g2", 1, end, {}}));
    EXPECT_FALSE(
        collector.nextWindow(std::nullopt, end + UsageCollector::kMinGatherTime - 1, kLongest, kLive));
    EXPECT_EQ(collector.nextWindow(std::nullopt, end + UsageCollector::kMinGatherTime, kLongest, kLive),
              (WindowCounts{7, {{"a", 7}}}));
}

TEST(UsageCollector, RepeatsAndOvertakingReportsCountOnceAndSessionsAdd) {
    UsageCollector collector(kWindow, kLongest);
    const Millis end = windowEnd(7, kWindow);
    for (const std::uint64_t count : {5, 3, 5}) EXPECT_TRUE(collector.add(report("g1", 1, 7, count, end)));
    EXPECT_TRUE(collector.add(report("g1", 2, 7, 2, end)));
    EXPECT_EQ(collector.nextWindow(std::nullopt, end + kLongest, kLongest, {})->counts.at("a"), 7U);
    collector.clear();
    EXPECT_FALSE(collector.nextWindow(std::nullopt, end + kLongest, kLongest, {}));
}

TEST(UsageCollector, TheNextWindowFollowsTheNewestRecorded) {
    UsageCollector collector(kWindow, kLongest);
    EXPECT_TRUE(collector.add(report("g1", 1, 9, 1, windowEnd(9, kWindow))));
    EXPECT_TRUE(collector.add(report("g2", 1, 8, 1, windowEnd(9, kWindow))));
    const Millis now = windowEnd(9, kWindow) + kLongest;
    EXPECT_EQ(collector.nextWindow(std::nullopt, now, kLongest, {})->window, 8U);
    EXPECT_EQ(collector.nextWindow(8, now, kLongest, {})->window, 9U);
    EXPECT_EQ(collector.nextWindow(6, now, kLongest, {}), (WindowCounts{7, {}}))
        << "a window without requests is reported too";
    EXPECT_FALSE(collector.nextWindow(9, now, kLongest, {}));
    const Millis muchLater = windowEnd(40, kWindow) + 1;
    EXPECT_EQ(collector.nextWindow(6, muchLater, kLongest, {})->window,
              41 - (UsageCollector::kMaxWindows - 2));
}

TEST(UsageCollector, KeepsItsBounds) {
    UsageCollector collector(kWindow, kLongest);
    for (std::size_t gateway = 0; gateway < UsageCollector::kMaxSessions; ++gateway)
        EXPECT_TRUE(collector.add(report(std::to_string(gateway), 1, 7, 1, 0)));
    EXPECT_FALSE(collector.add(report("further", 1, 7, 1, 0)));
    EXPECT_FALSE(collector.add(report("0", 2, 7, 1, 0)));
    EXPECT_TRUE(collector.add(report("0", 1, 7, 2, 0)));
    collector.dropBefore(8);
    EXPECT_TRUE(collector.add(report("further", 1, 8, 1, 0))) << "sessions that are over make room";

    UsageCollector windows(kWindow, kLongest);
    for (WindowNumber window = 1; window <= UsageCollector::kMaxWindows + 2; ++window)
        EXPECT_TRUE(windows.add(report("g1", 1, window, 1, 0)));
    EXPECT_EQ(windows.nextWindow(std::nullopt, windowEnd(3, kWindow) + kLongest, kLongest, {})->window, 3U);

    UsageCollector tenants(kWindow, kLongest);
    UsageReport many{"g1", 1, 0, {{7, {}}}};
    for (std::size_t tenant = 0; tenant < UsageCollector::kMaxTenants + 3; ++tenant)
        many.windows.front().counts[std::to_string(tenant)] = 1;
    EXPECT_TRUE(tenants.add(many));
    EXPECT_EQ(tenants.nextWindow(std::nullopt, windowEnd(7, kWindow) + kLongest, kLongest, {})->counts.size(),
              UsageCollector::kMaxTenants);
}

TEST(UsageCollector, ASessionThatStillCoversIsKept) {
    UsageCollector collector(kWindow, kLongest);
    EXPECT_TRUE(collector.add(report("g1", 1, 7, 1, middleOf(8))));
    collector.dropBefore(8);
    EXPECT_TRUE(collector.nextWindow(6, windowEnd(7, kWindow) + UsageCollector::kMinGatherTime, kLongest,
                                     {{"g1", 1}}))
        << "its coverage is still known";
}

}  // namespace
}  // namespace beechpoint::duties
