#include "duties/true_time.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <string>

#include "core/splitmix.hpp"

namespace beechpoint::duties {
namespace {

constexpr Millis kTrueAtZero = 1.7e12;
constexpr Millis kHour = 3.6e6;

TEST(TrueTime, IsTheOwnClockWithoutReports) {
    const TrueTime time;
    EXPECT_EQ(time.estimate(500, kTrueAtZero), kTrueAtZero);
}

TEST(TrueTime, HoldsWhileAThirdOfTheClocksIsOffByHoursOrJumps) {
    constexpr int kMachines = 60;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SplitMix random(seed);
        TrueTime time;
        for (Millis now = 0; now < 30'000; now += 100) {
            for (int machine = 0; machine < kMachines; ++machine) {
                if (random() > 0.1) continue;
                const Millis delay = 50 * random();
                const Millis off = machine % 3 == 0 ? (random() - 0.5) * 48 * kHour : 0;
                time.report(now, std::to_string(machine), kTrueAtZero + now - delay + off);
            }
            if (now < 5000) continue;
            const Millis own = kTrueAtZero + now + 3 * kHour;
            EXPECT_LT(std::abs(time.estimate(now, own) - (kTrueAtZero + now)), 60) << "seed " << seed;
        }
    }
}

TEST(TrueTime, ForgetsMachinesThatAreSilent) {
    TrueTime time;
    for (const char* machine : {"a", "b", "c"}) time.report(0, machine, kTrueAtZero + kHour);
    EXPECT_EQ(time.estimate(TrueTime::kReportExpiry, kTrueAtZero),
              kTrueAtZero + TrueTime::kReportExpiry + kHour);
    const Millis late = TrueTime::kReportExpiry + 1;
    EXPECT_EQ(time.estimate(late, kTrueAtZero + late), kTrueAtZero + late);
    time.report(late, "d", kTrueAtZero + late);
    EXPECT_EQ(time.reporterCount(), 1U);
}

TEST(TrueTime, TheNewestReportOfAMachineCounts) {
    TrueTime time;
    for (int repeat = 0; repeat < 5; ++repeat) time.report(repeat, "a", kTrueAtZero + repeat + kHour);
    for (const char* machine : {"a", "b"}) time.report(10, machine, kTrueAtZero + 10);
    EXPECT_EQ(time.reporterCount(), 2U);
    EXPECT_EQ(time.estimate(10, 0), kTrueAtZero + 10);
}

TEST(TrueTime, IgnoresFurtherMachinesAtTheBound) {
    TrueTime time;
    for (std::size_t machine = 0; machine < TrueTime::kMaxReporters; ++machine)
        time.report(0, std::to_string(machine), kTrueAtZero);
    time.report(0, "further", kTrueAtZero);
    EXPECT_EQ(time.reporterCount(), TrueTime::kMaxReporters);
    time.report(0, "7", kTrueAtZero);
    EXPECT_EQ(time.reporterCount(), TrueTime::kMaxReporters);
}

}  // namespace
}  // namespace beechpoint::duties
