// The promises of the control state under faults drawn from a seed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <iostream>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kRecoverWithin = 3'000;

std::uint64_t seedsPerMix() {
    const char* wanted = std::getenv("REPLICA_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : 60;
}
std::uint64_t firstSeed() {
    const char* wanted = std::getenv("REPLICA_FIRST_SEED");
    return wanted ? std::strtoull(wanted, nullptr, 10) : 1;
}

ClusterOptions optionsOf(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.nodes = seed % 3 == 0 ? 5 : 3;
    return options;
}

bool recovers(Cluster& cluster) {
    const std::uint64_t before = cluster.acknowledged();
    return cluster.runUntil(kRecoverWithin, [&] { return cluster.acknowledged() > before; });
}

// All that is up has to come back into one view, and to show what was acknowledged.
void settleAndCheck(Cluster& cluster) {
    if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of the end of the faults");
    cluster.runFor(2'500);
    cluster.stopClient();
    cluster.runFor(1'500);
    for (std::size_t node = 0; node < cluster.nodes() && !cluster.failed(); ++node) {
        if (!cluster.up(node)) continue;
        if (!cluster.replica(node).inView()) cluster.fail("a healthy process is in no view");
        if (cluster.replica(node).committedPosition() < cluster.lastAcknowledged())
            cluster.fail("an acknowledged write is missing in the end");
    }
}

using Mix = std::function<void(Cluster&)>;

void play(const std::string& name, const Mix& mix) {
    Counters total;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedsPerMix(); ++seed) {
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
    }
    std::cout << name << ": " << total.writesAcknowledged << " writes, " << total.readsDone << " reads, "
              << total.viewChanges << " views put in force, " << total.faults << " faults, "
              << total.faultsWithWriteInFlight << " of them with a write in flight\n";
    EXPECT_GT(total.faultsWithWriteInFlight, 0u);
}

// Runs the fault now, right after an acknowledgement, or while a write is under way; waits for it.
void strike(Cluster& cluster, const std::function<void()>& fault) {
    bool done = false;
    const auto counted = [&] {
        cluster.countFault();
        fault();
        done = true;
    };
    const double kind = cluster.random()();
    if (kind < 0.4)
        cluster.onNextWrite(counted);
    else if (kind < 0.7)
        cluster.onNextAcknowledgement([&] { cluster.at(cluster.now(), counted); });
    else
        counted();
    if (cluster.runUntil(3'000, [&] { return done; })) return;
    cluster.onNextWrite(nullptr);
    cluster.onNextAcknowledgement(nullptr);
    if (!done && !cluster.failed()) cluster.fail("no write within 3 s of the last recovery");
}

std::size_t anyNode(Cluster& cluster) {
    for (;;) {
        const std::size_t node = cluster.random().below(cluster.nodes());
        if (!cluster.gone(node)) return node;
    }
}

// One fault that the system must bear, then its end.
void oneFault(Cluster& cluster) {
    const std::size_t node = anyNode(cluster);
    const std::size_t other = anyNode(cluster);
    const double kind = cluster.random()();
    const Millis span = cluster.draw(100, 3'500);
    if (kind < 0.15) {
        strike(cluster, [&] { cluster.kill(node); });
        cluster.runFor(cluster.draw(50, 1'500));
        cluster.start(node);
    } else if (kind < 0.25) {
        strike(cluster, [&] { cluster.losePower(node); });
        cluster.runFor(span);
        cluster.start(node);
    } else if (kind < 0.4) {
        strike(cluster, [&] {
            cluster.losePower(node);
            cluster.wipe(node);
        });
        cluster.runFor(cluster.draw(50, 2'000));
        cluster.start(node);
    } else if (kind < 0.5) {
        strike(cluster, [&] { cluster.freeze(node); });
        cluster.runFor(span);
        cluster.thaw(node);
    } else if (kind < 0.6) {
        strike(cluster, [&] { cluster.stallDisk(node, cluster.now() + span); });
        cluster.runFor(span);
    } else if (kind < 0.7) {
        strike(cluster, [&] { cluster.failDisk(node, true); });
        cluster.runFor(span);
        cluster.failDisk(node, false);
    } else if (kind < 0.8) {
        strike(cluster, [&] { cluster.cut(node, other, true); });
        cluster.runFor(span);
        cluster.joinAll();
    } else if (kind < 0.9) {
        strike(cluster, [&] {
            for (std::size_t peer = 0; peer < cluster.nodes(); ++peer) {
                cluster.cut(node, peer, peer != node);
                if (cluster.random()() < 0.7) cluster.cut(peer, node, peer != node);
            }
        });
        cluster.runFor(span);
        cluster.joinAll();
    } else {
        strike(cluster, [&] {
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

TEST(Simulation, WritesGoOnWhileOneMachineIsLost) {
    play("one machine lost", [](Cluster& cluster) {
        const std::size_t node = anyNode(cluster);
        const double kind = cluster.random()();
        strike(cluster, [&] {
            if (kind < 0.4)
                cluster.losePower(node);
            else if (kind < 0.6)
                cluster.freeze(node);
            else if (kind < 0.8)
                cluster.stallDisk(node, cluster.now() + 60'000);
            else
                for (std::size_t peer = 0; peer < cluster.nodes(); ++peer)
                    cluster.cut(node, peer, peer != node);
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
        const std::size_t victim = anyNode(cluster);
        strike(cluster, [&] {
            for (std::size_t node = 0; node < cluster.nodes(); ++node)
                power || (wiped && node == victim) ? cluster.losePower(node) : cluster.kill(node);
            if (wiped) cluster.wipe(victim);
        });
        for (std::size_t node = 0; node < cluster.nodes(); ++node)
            cluster.at(cluster.now() + cluster.draw(50, 900), [&cluster, node] { cluster.start(node); });
        cluster.runFor(900);
    });
}

TEST(Simulation, ManyFaultsAtOnceAndABadNetwork) {
    play("many faults at once", [](Cluster& cluster) {
        const Millis end = cluster.now() + 8'000;
        cluster.network() = {cluster.draw(0, 0.15), 0.05, cluster.draw(0, 60)};
        while (cluster.now() < end && !cluster.failed()) {
            cluster.runFor(cluster.draw(5, 400));
            const std::size_t node = anyNode(cluster);
            const std::size_t other = anyNode(cluster);
            const double kind = cluster.random()();
            cluster.countFault();
            if (kind < 0.15)
                cluster.kill(node);
            else if (kind < 0.3)
                cluster.losePower(node);
            else if (kind < 0.35)
                cluster.freeze(node);
            else if (kind < 0.45)
                cluster.thaw(node);
            else if (kind < 0.5)
                cluster.stallDisk(node, cluster.now() + cluster.draw(0, 2'000));
            else if (kind < 0.55)
                cluster.failDisk(node, true);
            else if (kind < 0.6)
                cluster.failDisk(node, false);
            else if (kind < 0.7)
                cluster.cut(node, other, true);
            else if (kind < 0.75)
                cluster.joinAll();
            else
                cluster.start(node);
        }
        cluster.heal();
    });
}

TEST(Simulation, FoundingUnderFaults) {
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedsPerMix(); ++seed) {
        ClusterOptions options = optionsOf(seed);
        options.seeds = 1 + seed % 3;
        options.startSpread = seed % 2 ? 300 : 3'000;
        Cluster cluster(options);
        cluster.startClient();
        cluster.network() = {cluster.draw(0, 0.2), 0.05, cluster.draw(0, 50)};
        for (int count = 0; count < 6; ++count) {
            cluster.runFor(cluster.draw(10, 400));
            const std::size_t node = anyNode(cluster);
            const bool power = cluster.random()() < 0.5;
            if (!cluster.up(node)) continue;
            power ? cluster.losePower(node) : cluster.kill(node);
            cluster.at(cluster.now() + cluster.draw(50, 800), [&cluster, node] {
                // A process whose disk is still empty is started as at first.
                cluster.start(node, cluster.disk(node).control.incarnation == 0);
            });
        }
        cluster.runFor(options.startSpread + 900);
        cluster.network() = {};
        if (!cluster.failed()) settleAndCheck(cluster);
        EXPECT_FALSE(cluster.failed())
            << "founding seed " << seed << ": " << cluster.failure() << "\n"
            << (std::getenv("REPLICA_TRACE") ? cluster.trace() : "") << cluster.describe();
    }
}

}  // namespace
}  // namespace beechpoint::replica::simulation
