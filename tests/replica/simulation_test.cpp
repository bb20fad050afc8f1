// The invariants of the control state under faults drawn from a seed.
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

constexpr std::uint64_t kSeedsPerMix = 50;
constexpr Millis kRecoverWithin = 3'000;
constexpr Millis kReturnWithin = 3'000;
constexpr Millis kWatched = 5'300;         // longer than the bound of Cluster::checkAvailability
constexpr Millis kCatchUp = 4'000;         // time after the return for which a loss still counts
constexpr Millis kLeavingBound = 3'001;    // a leaving process exits within this time
constexpr Millis kSuccessorAfter = 1'000;  // delay of an empty machine that replaces a permanently lost one

ClusterOptions optionsOf(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 5 : 3;
    return options;
}

bool recovers(Cluster& cluster) {
    const std::uint64_t before = cluster.acknowledged();
    const Millis began = cluster.now();
    const bool done = cluster.runUntil(kRecoverWithin, [&] { return cluster.acknowledged() > before; });
    Counters& counters = cluster.counters();
    counters.slowestWrite = std::max(counters.slowestWrite, cluster.now() - began);
    return done;
}

// All running nodes must return to one view and show everything acknowledged.
void settleAndCheck(Cluster& cluster) {
    const Millis began = cluster.now();
    if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of the end of the faults");
    const Millis left = began + kReturnWithin - cluster.now();
    const bool whole = cluster.runUntil(left, [&] { return cluster.isComplete(); });
    if (!whole && !cluster.failed()) cluster.fail("not all were taken in again within 3 s");
    cluster.counters().slowestReturn = cluster.now() - began;
    cluster.runFor(1'000);
    cluster.stopClient();
    cluster.runFor(1'500);
    for (std::size_t node = 0; node < cluster.nodes() && !cluster.failed(); ++node) {
        if (!cluster.up(node)) continue;
        if (!cluster.replica(node).isInView()) cluster.fail("a healthy process is in no view");
        if (cluster.replica(node).committedPosition() < cluster.lastAcknowledged())
            cluster.fail("an acknowledged write is missing in the end");
    }
}

using Mix = std::function<void(Cluster&)>;

void play(const std::string& name, const Mix& mix) {
    Counters total;
    const auto [first, seeds] = wantedSeeds(kSeedsPerMix);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Cluster cluster(optionsOf(seed));
        cluster.startClient();
        if (!cluster.runUntil(4'000, [&] { return cluster.acknowledged() > 0; })) cluster.fail("no founding");
        cluster.runFor(1'500);
        if (!cluster.failed()) mix(cluster);
        if (!cluster.failed()) settleAndCheck(cluster);
        EXPECT_FALSE(cluster.failed())
            << name << " seed " << seed << ": " << cluster.failure() << "\n"
            << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "") << cluster.describe();
        total.writesAcknowledged += cluster.counters().writesAcknowledged;
        total.readsDone += cluster.counters().readsDone;
        total.faults += cluster.counters().faults;
        total.faultsWithWriteInFlight += cluster.counters().faultsWithWriteInFlight;
        total.viewChanges += cluster.counters().viewChanges;
        total.wipes += cluster.counters().wipes;
        total.slowestWrite = std::max(total.slowestWrite, cluster.counters().slowestWrite);
        total.slowestReturn = std::max(total.slowestReturn, cluster.counters().slowestReturn);
    }
    std::cout << name << ": " << total.writesAcknowledged << " writes, " << total.readsDone << " reads, "
              << total.viewChanges << " views put in force, " << total.wipes << " wipes, " << total.faults
              << " faults, " << total.faultsWithWriteInFlight
              << " of them with a write in flight, slowest write " << total.slowestWrite
              << " ms, slowest return " << total.slowestReturn << " ms\n";
    EXPECT_GT(total.faultsWithWriteInFlight, 0u);
}

// Injects the fault now, directly after an acknowledgement, or while a write is in flight, and waits for it.
void injectFault(Cluster& cluster, const std::function<void()>& fault) {
    // Scheduled steps may run after this function returns: they own their state and do nothing after its time-out.
    const auto done = std::make_shared<bool>(false);
    const auto counted = [&cluster, fault, done] {
        if (std::exchange(*done, true)) return;
        cluster.countFault();
        fault();
    };
    const double kind = cluster.random()();
    if (kind < 0.45)
        cluster.onNextWrite(counted);
    else if (kind < 0.75)
        cluster.onNextAcknowledgement([&cluster, counted] { cluster.at(cluster.now(), counted); });
    else
        counted();
    if (cluster.runUntil(3'000, [&] { return *done; })) return;
    cluster.onNextWrite(nullptr);
    cluster.onNextAcknowledgement(nullptr);
    if (!std::exchange(*done, true) && !cluster.failed())
        cluster.fail("no write within 3 s of the last recovery");
}

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
    play("one fault after another", [](Cluster& cluster) {
        for (int count = 0; count < 4 && !cluster.failed(); ++count) {
            oneFault(cluster);
            if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of a fault");
            cluster.runFor(3'000);
        }
    });
}

TEST(Simulation, ServesWritesWhileOneMachineIsLost) {
    play("one machine lost", [](Cluster& cluster) {
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
    play("all at once", [](Cluster& cluster) {
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
    play("faults during repair", [](Cluster& cluster) {
        for (int round = 0; round < 3 && !cluster.failed(); ++round) {
            const std::size_t first = cluster.drawNode();
            injectFault(cluster, [&] {
                const bool whole = cluster.isComplete();
                cluster.losePower(first);
                if (whole && cluster.random()() < 0.6) cluster.wipe(first);
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
    play("a second loss right after a replacement", [](Cluster& cluster) {
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
                cluster.fail("not whole when the second loss is over");
        }
        // The last fault occurs while a write is in flight, as in the other mixes.
        injectFault(cluster, [&] { cluster.losePower(cluster.drawNode()); });
        cluster.heal();
    });
}

void anyFault(Cluster& cluster) {
    const std::size_t node = cluster.drawNode();
    const std::size_t other = cluster.drawNode();
    const double kind = cluster.random()();
    if (cluster.isComplete() && cluster.random()() < 0.3) {
        cluster.losePower(node);
        cluster.wipe(node);
    } else if (kind < 0.1) {
        cluster.kill(node);
    } else if (kind < 0.2) {
        cluster.losePower(node);
    } else if (kind < 0.25) {
        cluster.freeze(node);
    } else if (kind < 0.3) {
        cluster.stallDisk(node, cluster.now() + cluster.draw(0, 2'000));
    } else if (kind < 0.34) {
        cluster.failDisk(node, true);
    } else if (kind < 0.4) {
        cluster.partition(node, other, true);
    } else if (kind < 0.45) {
        cluster.healPartitions();
    } else if (kind < 0.55) {
        cluster.failDisk(node, false);
        cluster.thaw(node);
    } else {
        cluster.start(node);
    }
}

TEST(Simulation, ManyFaultsAtOnceOnFaultyNetwork) {
    play("many faults at once", [](Cluster& cluster) {
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

TEST(Simulation, NeverWrongWhateverFails) {
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
            const bool whole = cluster.isComplete();
            if (cluster.random()() < (whole ? 0.5 : 0.1))
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
