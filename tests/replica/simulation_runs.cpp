#include "simulation_runs.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include "wanted_seeds.hpp"

namespace beechpoint::replica::simulation {
namespace {

constexpr Millis kRecoverWithin = 3'000;
constexpr Millis kReturnWithin = 3'000;

}  // namespace

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

void settleAndCheck(Cluster& cluster) {
    const Millis began = cluster.now();
    if (!recovers(cluster) && !cluster.failed()) cluster.fail("no write within 3 s of the end of the faults");
    const Millis left = began + kReturnWithin - cluster.now();
    const bool complete = cluster.runUntil(left, [&] { return cluster.isComplete(); });
    if (!complete && !cluster.failed()) cluster.fail("not all were taken in again within 3 s");
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

void playMix(const std::string& name, const Mix& mix) {
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

}  // namespace beechpoint::replica::simulation
