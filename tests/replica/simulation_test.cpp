// The invariants of the control state under faults drawn from a seed.
#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <utility>

#include "simulation_runs.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kCatchUp = 4'000;         // time after the return for which a loss still counts
constexpr Millis kLeavingBound = 3'001;    // a leaving process exits within this time
constexpr Millis kSuccessorAfter = 1'000;  // delay of an empty machine that replaces a permanently lost one

// Injects and ends one fault that the system must tolerate.
void oneFault(Cluster& cluster) {
    const std::size_t node = cluster.drawNode();
    const std::size_t other = cluster.drawNode();
    const double kind = cluster.random()();
    const Millis span = cluster.draw(100, 3'500);
    if (kind < 0.15) {
        injectFault(cluster, [&] { cluster.kill(node); });
        cluster.runFor(cluster.draw(50, 1'500));
        cluster.start(node);
    } else if (kind < 0.25) {
        injectFault(cluster, [&] { cluster.losePower(node); });
        cluster.runFor(span);
        cluster.start(node);
    } else if (kind < 0.4) {
        injectFault(cluster, [&] {
            cluster.losePower(node);
            cluster.wipe(node);
        });
        cluster.runFor(cluster.draw(50, 2'000));
        cluster.start(node);
    } else if (kind < 0.5) {
        injectFault(cluster, [&] { cluster.freeze(node); });
        cluster.runFor(span);
        cluster.thaw(node);
    } else if (kind < 0.6) {
        injectFault(cluster, [&] { cluster.stallDisk(node, cluster.now() + span); });
        cluster.runFor(span);
    } else if (kind < 0.7) {
        injectFault(cluster, [&] { cluster.failDisk(node, true); });
        cluster.runFor(span);
        cluster.failDisk(node, false);
    } else if (kind < 0.8) {
        injectFault(cluster, [&] { cluster.partition(node, other, true); });
        cluster.runFor(span);
        cluster.healPartitions();
    } else if (kind < 0.9) {
        injectFault(cluster, [&] {
            for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
                cluster.partition(node, peer, peer != node);
                if (cluster.random()() < 0.7) cluster.partition(peer, node, peer != node);
            }
        });
        cluster.runFor(span);
        cluster.healPartitions();
    } else {
        injectFault(cluster, [&] {
            cluster.losePower(node);
            cluster.setGone(node);
        });
        cluster.runFor(cluster.draw(0, 1'500));
        const std::size_t added = cluster.addReplacement(node, cluster.random()() < 0.5);
        cluster.start(added);
    }
}

TEST(Simulation, OneFaultAfterAnother) {
    playMix("one fault after another", [](Cluster& cluster) {
        for (int count = 0; count < 4 && !cluster.failed(); ++count) {
            oneFault(cluster);
            if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of a fault");
            cluster.runFor(3'000);
        }
    });
}

TEST(Simulation, ServesWritesWhileOneMachineIsLost) {
    playMix("one machine lost", [](Cluster& cluster) {
        const std::size_t node = cluster.drawNode();
        const double kind = cluster.random()();
        injectFault(cluster, [&] {
            if (kind < 0.4)
                cluster.losePower(node);
            else if (kind < 0.6)
                cluster.freeze(node);
            else if (kind < 0.8)
                cluster.stallDisk(node, cluster.now() + 60'000);
            else
                for (std::size_t peer = 0; peer < cluster.nodes(); ++peer)
                    cluster.partition(node, peer, peer != node);
        });
        if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of a loss");
        cluster.runFor(cluster.draw(0, 3'000));
        cluster.heal();
    });
}

TEST(Simulation, AllAtOnce) {
    playMix("all at once", [](Cluster& cluster) {
        const bool power = cluster.random()() < 0.6;
        const bool wiped = cluster.random()() < 0.5;
        const std::size_t victim = cluster.drawNode();
        injectFault(cluster, [&] {
            for (std::size_t node = 0; node < cluster.nodes(); ++node)
                power || (wiped && node == victim) ? cluster.losePower(node) : cluster.kill(node);
            if (wiped) cluster.wipe(victim);
        });
        for (std::size_t node = 0; node < cluster.nodes(); ++node)
            cluster.at(cluster.now() + cluster.draw(50, 900), [&cluster, node] { cluster.start(node); });
        cluster.runFor(900);
    });
}

// A second fault during the repair of the first one, at the moment when a view is installed.
TEST(Simulation, FaultsDuringRepair) {
    playMix("faults during repair", [](Cluster& cluster) {
        for (int round = 0; round < 3 && !cluster.failed(); ++round) {
            const std::size_t first = cluster.drawNode();
            injectFault(cluster, [&] {
                const bool complete = cluster.isComplete();
                cluster.losePower(first);
                if (complete && cluster.random()() < 0.6) cluster.wipe(first);
            });
            cluster.at(cluster.now() + cluster.draw(50, 1'500), [&cluster, first] { cluster.start(first); });
            for (int count = 0; count < 3 && !cluster.failed(); ++count) {
                const auto done = std::make_shared<bool>(false);
                const std::size_t next = cluster.drawNode();
                const double kind = cluster.random()();
                cluster.onNextView([&cluster, done, next, kind] {
                    if (std::exchange(*done, true)) return;
                    cluster.countFault();
                    if (kind < 0.4)
                        cluster.losePower(next);
                    else if (kind < 0.7)
                        cluster.kill(next);
                    else if (kind < 0.85)
                        cluster.freeze(next);
                    else
                        cluster.stallDisk(next, cluster.now() + 1'500);
                });
                cluster.runUntil(4'000, [&] { return *done; });
                *done = true;
                cluster.onNextView(nullptr);
                cluster.runFor(cluster.draw(0, 1'200));
                cluster.thaw(next);
                cluster.start(next);
            }
            cluster.heal();
            if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of the repair");
            cluster.runUntil(3'000, [&] { return cluster.isComplete(); });
        }
    });
}

// One machine replaces another, either planned (the new one starts first, then the old one leaves) or not (it is permanently
// lost, and an empty one starts a second later). At the moment when the old one no longer counts as lost, the next loss follows: a
// lost disk, a power loss, a partition or another planned replacement.
std::size_t replaceMachine(Cluster& cluster, std::size_t old, bool announced) {
    const std::size_t added = cluster.addReplacement(old, cluster.random()() < 0.5 && !announced);
    if (announced) {
        cluster.start(added);
        cluster.runFor(kCatchUp);
        cluster.leave(old);
        cluster.runUntil(kLeavingBound, [&] { return !cluster.up(old); });
        cluster.setGone(old);
        return added;
    }
    cluster.losePower(old);
    cluster.setGone(old);
    cluster.runFor(kSuccessorAfter);
    cluster.start(added);
    cluster.runFor(kCatchUp);
    return added;
}

TEST(Simulation, SecondLossRightAfterReplacement) {
    playMix("a second loss right after a replacement", [](Cluster& cluster) {
        for (int round = 0; round < 3 && !cluster.failed(); ++round) {
            replaceMachine(cluster, cluster.drawNode(), cluster.random()() < 0.5);
            cluster.countFault();
            const std::size_t second = cluster.drawNode();
            const double kind = cluster.random()();
            if (kind < 0.8) cluster.losePower(second);
            if (kind < 0.5) cluster.wipe(second);
            for (std::size_t peer = 0; peer < cluster.nodes(); ++peer)
                if (kind >= 0.8) cluster.partition(second, peer, peer != second);
            if (!recovers(cluster) && !cluster.failed())
                cluster.fail("no write within 3 s of the second loss");
            cluster.runFor(cluster.draw(0, 1'000));
            cluster.healPartitions();
            cluster.start(second);
            cluster.runFor(kCatchUp);
            if (!cluster.isComplete() && !cluster.failed())
                cluster.fail("not complete when the second loss is over");
        }
        // The last fault occurs while a write is in flight, as in the other mixes.
        injectFault(cluster, [&] { cluster.losePower(cluster.drawNode()); });
        cluster.heal();
    });
}

TEST(Simulation, ManyFaultsAtOnceOnFaultyNetwork) {
    playMix("many faults at once", [](Cluster& cluster) {
        const Millis end = cluster.now() + 12'000;
        cluster.network() = {cluster.draw(0, 0.1), 0.05, cluster.draw(0, 40), 0.02};
        while (cluster.now() < end && !cluster.failed()) {
            const auto struck = std::make_shared<bool>(false);
            if (cluster.random()() < 0.3) cluster.onNextWrite([struck] { *struck = true; });
            cluster.runUntil(cluster.draw(5, 600), [&] { return *struck; });
            cluster.onNextWrite(nullptr);
            cluster.countFault();
            anyFault(cluster);
        }
        cluster.heal();
    });
}

}  // namespace
}  // namespace beechpoint::replica::simulation
