// The safety of the control state whatever fails, and its founding under faults; drawn from a seed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <utility>

#include "simulation_runs.hpp"
#include "wanted_seeds.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kWatched = 5'300;  // longer than the bound of Cluster::checkAvailability

// With any faults and any number of lost disks, the system may stop permanently if no majority is left that can acknowledge, but must
// never fork, move backwards or lose an acknowledged write. Faults hit the sender of an agreement or chain message at the moment of sending.
void strikeSenders(Cluster& cluster) {
    cluster.onSend([&cluster](std::size_t from, const Body& body) {
        const bool vote = std::holds_alternative<Promise>(body) || std::holds_alternative<Accepted>(body);
        const bool proposal = std::holds_alternative<Accept>(body) || std::holds_alternative<Decided>(body);
        const bool chain = std::holds_alternative<Commit>(body) || std::holds_alternative<Propose>(body);
        const double odds = vote ? 0.05 : proposal ? 0.02 : chain ? 0.005 : 0;
        if (cluster.random()() >= odds) return;
        cluster.countFault();
        const Millis when = cluster.now() + cluster.draw(0, 6);
        const double kind = cluster.random()();
        cluster.at(when, [&cluster, from, kind] {
            if (kind < 0.5) return cluster.losePower(from);
            if (kind < 0.6) return cluster.freeze(from);
            for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
                if (kind < 0.9) cluster.partition(from, peer, peer != from);
                if (kind > 0.7) cluster.partition(peer, from, peer != from);
            }
        });
        cluster.at(when + cluster.draw(30, 1'500), [&cluster, from] {
            for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
                cluster.partition(from, peer, false);
                cluster.partition(peer, from, false);
            }
            cluster.thaw(from);
            cluster.start(from);
        });
    });
}

void wipeOrReplace(Cluster& cluster) {
    const std::size_t node = cluster.drawNode();
    cluster.losePower(node);
    if (cluster.random()() < 0.5) {
        cluster.wipe(node);
        cluster.at(cluster.now() + cluster.draw(20, 600), [&cluster, node] { cluster.start(node); });
        return;
    }
    cluster.setGone(node);
    const std::size_t added = cluster.addReplacement(node, cluster.random()() < 0.5);
    cluster.at(cluster.now() + cluster.draw(20, 600), [&cluster, added] { cluster.start(added); });
}

ClusterOptions harshOptions(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = 2 + seed % 4;
    options.tolerance = {seed % 3, seed % 2};
    return options;
}

TEST(Simulation, KeepsAcknowledgedWritesWhateverFails) {
    Counters total;
    const auto [first, seeds] = wantedSeeds(kSeedsPerMix);
    for (std::uint64_t seed = first; seed < first + 2 * seeds; ++seed) {
        Cluster cluster(harshOptions(seed));
        cluster.startClient();
        if (!cluster.runUntil(4'000, [&] { return cluster.acknowledged() > 0; }) && !cluster.failed())
            continue;
        cluster.network() = {cluster.draw(0, 0.2), 0.1, cluster.draw(0, 30), 0.05};
        cluster.disks() = {cluster.draw(4, 80), cluster.draw(0, 0.06), 0.4};
        strikeSenders(cluster);
        const Millis end = cluster.now() + 10'000;
        while (cluster.now() < end && !cluster.failed()) {
            cluster.runFor(cluster.draw(5, 800));
            cluster.countFault();
            const bool complete = cluster.isComplete();
            if (cluster.random()() < (complete ? 0.5 : 0.1))
                wipeOrReplace(cluster);
            else if (cluster.random()() < 0.15)
                for (std::size_t node = 0; node < cluster.nodes(); ++node) cluster.losePower(node);
            else
                anyFault(cluster);
            for (std::size_t node = 0; node < cluster.nodes(); ++node)
                if (cluster.random()() < 0.5) cluster.start(node);
        }
        cluster.heal();
        cluster.runFor(kWatched);
        cluster.stopClient();
        cluster.runFor(1'500);
        EXPECT_FALSE(cluster.failed())
            << "whatever fails seed " << seed << ": " << cluster.failure() << "\n"
            << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "") << cluster.describe();
        total.writesAcknowledged += cluster.counters().writesAcknowledged;
        total.faults += cluster.counters().faults;
        total.faultsWithWriteInFlight += cluster.counters().faultsWithWriteInFlight;
        total.wipes += cluster.counters().wipes;
        total.viewChanges += cluster.counters().viewChanges;
    }
    std::cout << "whatever fails: " << total.writesAcknowledged << " writes, " << total.viewChanges
              << " views put in force, " << total.wipes << " wipes, " << total.faults << " faults, "
              << total.faultsWithWriteInFlight << " of them with a write in flight\n";
}

TEST(Simulation, FoundingUnderFaults) {
    const auto [first, seeds] = wantedSeeds(kSeedsPerMix);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        ClusterOptions options = optionsOf(seed);
        options.seeds = 1 + seed % 3;
        options.startSpread = seed % 2 ? 300 : 3'000;
        Cluster cluster(options);
        cluster.startClient();
        cluster.network() = {cluster.draw(0, 0.2), 0.05, cluster.draw(0, 50)};
        for (int count = 0; count < 6; ++count) {
            cluster.runFor(cluster.draw(10, 400));
            const std::size_t node = cluster.drawNode();
            cluster.partition(node, cluster.drawNode(), true);
            if (cluster.random()() < 0.2) cluster.healPartitions();
            const bool power = cluster.random()() < 0.5;
            if (!cluster.up(node)) continue;
            power ? cluster.losePower(node) : cluster.kill(node);
            cluster.at(cluster.now() + cluster.draw(50, 800), [&cluster, node] {
                // A process whose disk is still empty is started with bootstrap again.
                cluster.start(node, cluster.disk(node).control.incarnation == 0);
            });
        }
        cluster.runFor(options.startSpread + 900);
        cluster.network() = {};
        cluster.healPartitions();
        if (!cluster.failed()) settleAndCheck(cluster);
        EXPECT_FALSE(cluster.failed())
            << "founding seed " << seed << ": " << cluster.failure() << "\n"
            << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "") << cluster.describe();
    }
}

}  // namespace
}  // namespace beechpoint::replica::simulation
