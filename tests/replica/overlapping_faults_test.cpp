// Restarts, lost disks, SIGTERM, replaced machines, suspensions and disturbed disks and links in series that overlap; in the last series as
// many machines as the tolerance allows are lost for good. A majority that can acknowledge writes always does so within the operators'
// bound (Cluster::checkAvailability).
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include "fault_moments.hpp"
#include "simulated_cluster.hpp"
#include "wanted_seeds.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr std::uint64_t kSeeds = 24;
constexpr int kSeriesPerRun = 3;
constexpr std::size_t kMostFaultsInSeries = 5;
constexpr Millis kFoundWithin = 6'000;
constexpr Millis kWatched = 5'300;  // longer than ack_ms, after the last fault of a series
constexpr Millis kReturnWithin = 8'000;
constexpr Millis kCatchUp = 4'000;
constexpr Millis kLongestFault = 3'500;
constexpr Millis kLongestDown = 1'500;
constexpr Millis kLeavingBound = 3'001;    // a leaving process exits within this time
constexpr Millis kSuccessorAfter = 1'000;  // delay of an empty machine that replaces a permanently lost one

// ---- Faults, each with its end after a drawn time

void startLater(Cluster& cluster, std::size_t node, Millis after) {
    cluster.at(cluster.now() + after, [&cluster, node] { cluster.start(node); });
}

void restart(Cluster& cluster, std::size_t node) {
    cluster.random()() < 0.5 ? cluster.kill(node) : cluster.losePower(node);
    startLater(cluster, node, cluster.draw(50, kLongestDown));
}

void terminate(Cluster& cluster, std::size_t node) {
    cluster.leave(node);
    startLater(cluster, node, kLeavingBound + cluster.draw(0, kLongestDown));
}

void loseDisk(Cluster& cluster, std::size_t node) {
    cluster.losePower(node);
    cluster.wipe(node);
    startLater(cluster, node, cluster.draw(50, kLongestDown));
}

void replaceMachine(Cluster& cluster, std::size_t node) {
    cluster.losePower(node);
    cluster.setGone(node);
    const std::size_t added = cluster.addReplacement(node, cluster.random()() < 0.5);
    startLater(cluster, added, kSuccessorAfter);
}

void suspend(Cluster& cluster, std::size_t node) {
    cluster.freeze(node);
    cluster.at(cluster.now() + cluster.draw(100, kLongestFault), [&cluster, node] { cluster.thaw(node); });
}

void disturbDisk(Cluster& cluster, std::size_t node) {
    const Millis until = cluster.now() + cluster.draw(100, kLongestFault);
    if (cluster.random()() < 0.5) {
        cluster.stallDisk(node, until);
        return;
    }
    cluster.failDisk(node, true);
    cluster.at(until, [&cluster, node] { cluster.failDisk(node, false); });
}

void disturbLinks(Cluster& cluster, std::size_t node) {
    const double kind = cluster.random()();
    if (kind < 0.5)
        partitionLink(cluster, node);
    else
        partitionFromAll(cluster, node, kind<0.8, kind> 0.7);
    cluster.at(cluster.now() + cluster.draw(100, kLongestFault), [&cluster] { cluster.healPartitions(); });
}

void injectFault(Cluster& cluster, std::size_t node) {
    if (cluster.gone(node)) return;
    cluster.countFault();
    const double kind = cluster.random()();
    if (kind < 0.4)
        restart(cluster, node);
    else if (kind < 0.65)
        terminate(cluster, node);
    else if (kind < 0.8)
        suspend(cluster, node);
    else if (kind < 0.9)
        disturbDisk(cluster, node);
    else
        disturbLinks(cluster, node);
}

// The loss of a disk counts as a loss until kCatchUp after its return: only the first fault of a series may be one.
void injectFirstFault(Cluster& cluster, std::size_t node) {
    const double kind = cluster.random()();
    if (kind < 0.6) return injectFault(cluster, node);
    cluster.countFault();
    kind < 0.8 ? loseDisk(cluster, node) : replaceMachine(cluster, node);
}

void injectFurtherFaults(Cluster& cluster) {
    const std::size_t faults = cluster.random().below(kMostFaultsInSeries);
    for (std::size_t fault = 0; fault < faults && !cluster.failed(); ++fault)
        injectFaultAtMoment(cluster, injectFault);
}

void series(Cluster& cluster) {
    injectFaultAtMoment(cluster, injectFirstFault);
    injectFurtherFaults(cluster);
}

// ---- Clusters

struct Shape {
    std::size_t nodes;
    std::size_t zones;
    Tolerance tolerance;
};

constexpr std::array kShapes{Shape{3, 3, {1, 1}}, Shape{5, 3, {1, 1}}, Shape{3, 3, {1, 1}},
                             Shape{5, 6, {2, 1}}, Shape{3, 3, {1, 1}}, Shape{9, 6, {2, 1}}};

ClusterOptions optionsOf(std::uint64_t seed) {
    const Shape& shape = kShapes.at(seed % kShapes.size());
    ClusterOptions options;
    options.seed = seed;
    options.nodes = shape.nodes;
    options.zones = shape.zones;
    options.tolerance = shape.tolerance;
    return options;
}

// As many machines as the tolerance allows are lost for good, at drawn times around the first fault.
void lastSeries(Cluster& cluster, const Tolerance& tolerance) {
    for (std::size_t left = tolerance.machines; left > 0; --left) {
        const std::size_t lost = cluster.drawNode();
        cluster.at(cluster.now() + cluster.draw(0, kLongestDown), [&cluster, lost] {
            cluster.losePower(lost);
            cluster.setGone(lost);
        });
    }
    injectFaultAtMoment(cluster, injectFault);
    injectFurtherFaults(cluster);
}

void play(std::uint64_t seed, Millis& longestSilence) {
    const ClusterOptions options = optionsOf(seed);
    Cluster cluster(options);
    cluster.startClient();
    if (!cluster.runUntil(kFoundWithin, [&] { return cluster.isComplete(); })) cluster.fail("no founding");
    for (int count = 0; count < kSeriesPerRun && !cluster.failed(); ++count) {
        series(cluster);
        cluster.runFor(kLeavingBound + kLongestFault + kWatched);
        cluster.healPartitions();  // a moment may leave a link cut; all other faults have ended
        cluster.runUntil(kReturnWithin, [&] { return cluster.isComplete(); });
        if (!cluster.isComplete() && !cluster.failed()) cluster.fail("not complete after a series");
        cluster.runFor(kCatchUp);
    }
    lastSeries(cluster, options.tolerance);
    cluster.runFor(kLeavingBound + kLongestFault + kWatched);
    longestSilence = std::max(longestSilence, cluster.counters().longestSilence);
    EXPECT_FALSE(cluster.failed()) << "overlapping faults seed " << seed << ": " << cluster.failure() << "\n"
                                   << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "")
                                   << cluster.describe();
}

TEST(OverlappingFaults, MajorityAcknowledgesAfterRestartsLostDisksAndReplacements) {
    const auto [first, seeds] = wantedSeeds(kSeeds);
    Millis longestSilence = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) play(seed, longestSilence);
    std::cout << "overlapping faults: " << seeds << " seeds, longest time without an acknowledgement "
              << longestSilence << " ms\n";
}

}  // namespace
}  // namespace beechpoint::replica::simulation
