// Series of faults that are left in place, each at a moment when something is on its way: while a majority can reach each other and
// meets the tolerance, writes are acknowledged within the operators' bound (Cluster::checkAvailability).
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <utility>

#include "simulated_cluster.hpp"
#include "wanted_seeds.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr std::uint64_t kSeeds = 60;
constexpr int kSeriesPerRun = 4;
constexpr Millis kFoundWithin = 6'000;
constexpr Millis kMomentWithin = 1'500;
constexpr Millis kWatched = 5'300;  // longer than ack_ms, after the last fault of a series
constexpr Millis kReturnWithin = 8'000;
constexpr Millis kCatchUp = 4'000;
constexpr Millis kForGood = 600'000;

// ---- Moments

// Kinds of messages whose sending is the moment of a fault.
enum class OnItsWay { opening, batch, commit, prepare, promise, accept, accepted, decided, state, report };
constexpr std::size_t kOnItsWayKinds = 10;

bool isKind(const Body& body, OnItsWay kind) {
    const auto* propose = std::get_if<Propose>(&body);
    switch (kind) {
        case OnItsWay::opening:
            return propose && propose->opening;
        case OnItsWay::batch:
            return propose && !propose->opening;
        case OnItsWay::commit:
            return std::holds_alternative<Commit>(body);
        case OnItsWay::prepare:
            return std::holds_alternative<Prepare>(body);
        case OnItsWay::promise:
            return std::holds_alternative<Promise>(body);
        case OnItsWay::accept:
            return std::holds_alternative<Accept>(body);
        case OnItsWay::accepted:
            return std::holds_alternative<Accepted>(body);
        case OnItsWay::decided:
            return std::holds_alternative<Decided>(body);
        case OnItsWay::state:
            return std::holds_alternative<SyncReply>(body);
        case OnItsWay::report:
            return std::holds_alternative<HeartbeatReply>(body);
    }
    return false;
}

// ---- Faults

void partitionFromAll(Cluster& cluster, std::size_t node, bool in, bool out) {
    for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
        if (peer == node) continue;
        if (out) cluster.partition(node, peer, true);
        if (in) cluster.partition(peer, node, true);
    }
}

// A link that fails in one or both directions.
void partitionLink(Cluster& cluster, std::size_t node) {
    const std::size_t other = cluster.drawNode();
    if (other == node) return;
    cluster.partition(node, other, true);
    if (cluster.random()() < 0.6) cluster.partition(other, node, true);
}

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

// A message may be lost with its sender's link to the next member shortly before the sender fails.
void strikeSender(Cluster& cluster, std::size_t sender) {
    if (cluster.random()() < 0.3) partitionLink(cluster, sender);
    const Millis when = cluster.now() + cluster.draw(0, 60);
    cluster.at(when, [&cluster, sender] { injectFault(cluster, sender); });
}

// Injects a fault at a drawn moment, or after a time limit.
void injectFaultAtMoment(Cluster& cluster) {
    const auto done = std::make_shared<bool>(false);
    const double moment = cluster.random()();
    const std::size_t node = cluster.drawNode();
    const auto fault = [&cluster, node, done] {
        if (!std::exchange(*done, true)) injectFault(cluster, node);
    };
    if (moment < 0.2) {
        cluster.onNextWrite(fault);
    } else if (moment < 0.3) {
        cluster.onNextView(fault);
    } else if (moment < 0.8) {
        const auto kind = static_cast<OnItsWay>(cluster.random().below(kOnItsWayKinds));
        cluster.onSend([&cluster, kind, done](std::size_t from, const Body& body) {
            if (*done || !isKind(body, kind) || cluster.random()() > 0.4) return;
            *done = true;
            strikeSender(cluster, from);
        });
    } else {
        cluster.runFor(cluster.draw(0, kMomentWithin));
    }
    cluster.runUntil(kMomentWithin, [&] { return *done; });
    cluster.onNextWrite(nullptr);
    cluster.onNextView(nullptr);
    cluster.onSend(nullptr);
    fault();
    cluster.runFor(cluster.draw(0, 100));
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
        injectFaultAtMoment(cluster);
        if (cluster.random()() < 0.6) endFaultsUntilSufficient(cluster);
    }
    endFaultsUntilSufficient(cluster);
    cluster.runFor(kWatched);
}

void play(std::uint64_t seed, Millis& longestSilence) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 5 : 3;
    Cluster cluster(options);
    cluster.startClient();
    if (!cluster.runUntil(kFoundWithin, [&] { return cluster.isComplete(); })) cluster.fail("no founding");
    for (int count = 0; count < kSeriesPerRun && !cluster.failed(); ++count) {
        series(cluster);
        if (cluster.failed()) break;
        cluster.heal();
        cluster.runUntil(kReturnWithin, [&] { return cluster.isComplete(); });
        if (!cluster.isComplete() && !cluster.failed()) cluster.fail("not whole after a series");
        cluster.runFor(kCatchUp);
    }
    longestSilence = std::max(longestSilence, cluster.counters().longestSilence);
    EXPECT_FALSE(cluster.failed()) << "availability seed " << seed << ": " << cluster.failure() << "\n"
                                   << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "")
                                   << cluster.describe();
}

TEST(Availability, MajorityAcknowledgesAfterEverySeriesOfFaults) {
    const auto [first, seeds] = wantedSeeds(kSeeds);
    Millis longestSilence = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) play(seed, longestSilence);
    std::cout << "series of faults: " << seeds << " seeds, longest time without an acknowledgement "
              << longestSilence << " ms\n";
}

}  // namespace
}  // namespace beechpoint::replica::simulation
