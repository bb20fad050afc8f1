// Series of faults that are left in place, each at a moment when something is on its way: while a majority can reach each other and
// meets the tolerance, writes are acknowledged within the operators' bound (Cluster::checkAvailability).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

#include "fault_moments.hpp"
#include "simulated_cluster.hpp"
#include "wanted_seeds.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr std::uint64_t kSeeds = 60;
constexpr std::uint64_t kSeedsOfTwoLosses = 12;
constexpr int kSeriesPerRun = 4;
constexpr Millis kFoundWithin = 6'000;
constexpr Millis kWatched = 5'300;  // longer than ack_ms, after the last fault of a series
constexpr Millis kReturnWithin = 8'000;
constexpr Millis kCatchUp = 4'000;
constexpr Millis kForGood = 600'000;

// ---- Faults

void injectFault(Cluster& cluster, std::size_t node) {
    cluster.countFault();
    const double kind = cluster.random()();
    if (kind < 0.3)
        cluster.losePower(node);
    else if (kind < 0.4)
        cluster.kill(node);
    else if (kind < 0.5)
        cluster.freeze(node);
    else if (kind < 0.6)
        cluster.stallDisk(node, cluster.now() + kForGood);
    else if (kind < 0.7)
        cluster.failDisk(node, true);
    else if (kind < 0.8)
        partitionFromAll(cluster, node, kind<0.77, kind> 0.73);
    else
        partitionLink(cluster, node);
}

// Ends faults in a drawn order until a majority can acknowledge.
void endFaultsUntilSufficient(Cluster& cluster) {
    for (int count = 0; count < 100 && !cluster.canAcknowledge() && !cluster.failed(); ++count) {
        const std::size_t node = cluster.drawNode();
        cluster.thaw(node);
        cluster.start(node);
        cluster.endDiskFaults(node);
        if (count > 20) cluster.healPartitions();
    }
}

void series(Cluster& cluster) {
    const std::size_t faults = 1 + cluster.random().below(3);
    for (std::size_t fault = 0; fault < faults && !cluster.failed(); ++fault) {
        injectFaultAtMoment(cluster, injectFault);
        if (cluster.random()() < 0.6) endFaultsUntilSufficient(cluster);
    }
    endFaultsUntilSufficient(cluster);
    cluster.runFor(kWatched);
}

void play(const ClusterOptions& options, Millis& longestSilence) {
    Cluster cluster(options);
    cluster.startClient();
    if (!cluster.runUntil(kFoundWithin, [&] { return cluster.isComplete(); })) cluster.fail("no founding");
    for (int count = 0; count < kSeriesPerRun && !cluster.failed(); ++count) {
        series(cluster);
        if (cluster.failed()) break;
        cluster.heal();
        cluster.runUntil(kReturnWithin, [&] { return cluster.isComplete(); });
        if (!cluster.isComplete() && !cluster.failed()) cluster.fail("not complete after a series");
        cluster.runFor(kCatchUp);
    }
    longestSilence = std::max(longestSilence, cluster.counters().longestSilence);
    EXPECT_FALSE(cluster.failed()) << "availability seed " << options.seed << ": " << cluster.failure()
                                   << "\n"
                                   << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "")
                                   << cluster.describe();
}

ClusterOptions optionsOf(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 5 : 3;
    return options;
}

ClusterOptions toleratingTwoLosses(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 9 : 5;
    options.zones = 6;
    options.tolerance = {2, 1};
    return options;
}

void playSeeds(const std::string& name, std::uint64_t count, ClusterOptions (*options)(std::uint64_t)) {
    const auto [first, seeds] = wantedSeeds(count);
    Millis longestSilence = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) play(options(seed), longestSilence);
    std::cout << name << ": " << seeds << " seeds, longest time without an acknowledgement " << longestSilence
              << " ms\n";
}

TEST(Availability, MajorityAcknowledgesAfterEverySeriesOfFaults) {
    playSeeds("series of faults", kSeeds, optionsOf);
}

TEST(Availability, MajorityAcknowledgesWhereTwoLossesAreTolerated) {
    playSeeds("series of faults, two losses tolerated", kSeedsOfTwoLosses, toleratingTwoLosses);
}

}  // namespace
}  // namespace beechpoint::replica::simulation
