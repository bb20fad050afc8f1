// The simulated cluster's disks: forced and unforced writes, stalls and failures.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

namespace {

constexpr Millis kShortestForcedWrite = 1;

}  // namespace

void Cluster::stallDisk(std::size_t index, Millis until) {
    recordFault(fmt::format("stall {}", index));
    nodes_[index].diskStalledUntil = until;
}

void Cluster::failDisk(std::size_t index, bool failing) {
    recordFault(fmt::format("fail disk {} {}", index, failing));
    nodes_[index].diskFails = failing;
}

void Cluster::endDiskFaults(std::size_t index) {
    Node& node = nodes_[index];
    if (node.diskFails) failDisk(index, false);
    if (node.diskStalledUntil <= now_) return;
    recordFault(fmt::format("end stall {}", index));
    node.diskStalledUntil = 0;
    node.diskBusy = false;
    startPersist(index);
}

void Cluster::startPersist(std::size_t index) {
    Node& node = nodes_[index];
    if (node.diskBusy || node.persists.empty()) return;
    node.diskBusy = true;
    Millis done = std::max(now_, node.diskStalledUntil);
    done += node.persists.front().update.force ? draw(kShortestForcedWrite, disks_.slowest) : draw(0.05, 0.3);
    at(done, [this, index, order = ++node.diskOrder] {
        if (nodes_[index].diskOrder == order && nodes_[index].diskBusy) finishPersist(index);
    });
}

void Cluster::finishPersist(std::size_t index) {
    Node& node = nodes_[index];
    if (now_ < node.diskStalledUntil) {  // the stall started meanwhile
        node.diskBusy = false;
        startPersist(index);
        return;
    }
    const QueuedPersist persist = std::move(node.persists.front());
    node.persists.pop_front();
    node.diskBusy = false;
    const bool fails = node.diskFails || random_() < disks_.failure;
    if (!fails) {
        apply(persist.update, node.written);
        if (persist.update.force) node.synced = node.written;
    } else if (random_() < disks_.failedThere) {
        apply(persist.update, node.written);  // a failed sync may still have written it
        if (random_() < 0.5) node.synced = node.written;
    }
    startPersist(index);
    if (fails)
        deliver(index, PersistFailed{persist.token, "disk full"});
    else
        deliver(index, Persisted{persist.token});
}

}  // namespace beechpoint::replica::simulation
