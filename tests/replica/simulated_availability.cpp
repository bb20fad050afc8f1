// The simulated cluster's check of availability: a majority that can acknowledge writes does so within the operators' bound.
#include <fmt/format.h>

#include <algorithm>

#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

namespace {

constexpr Millis kAcknowledgeWithin = 5'000;  // ack_ms
constexpr Millis kCheckEvery = 100;

}  // namespace

const View& Cluster::newestView() const {
    const View* newest = &nodes_.front().written.control.view;
    for (const Node& node : nodes_) {
        const View& view = node.replica ? node.replica->view() : node.written.control.view;
        if (view.epoch > newest->epoch) newest = &view;
    }
    return *newest;
}

bool Cluster::isWorking(std::size_t index) const {
    const Node& node = nodes_[index];
    return node.replica && !node.frozen && !node.leaving && !node.diskFails && now_ >= node.diskStalledUntil;
}

bool Cluster::reachEachOther(const std::vector<std::size_t>& group) const {
    for (const std::size_t from : group)
        for (const std::size_t to : group)
            if (partitions_.contains({from, to})) return false;
    return true;
}

bool Cluster::isSufficient(const std::vector<std::size_t>& group, const View& view) const {
    View remaining;
    std::size_t votes = 0;
    bool holdsState = false;
    for (const std::size_t index : group) {
        const Member& self = nodes_[index].replica->self();
        remaining.members.push_back(self);
        if (view.findVoter(self)) ++votes;
        if (view.findDisk(self) && nodes_[index].written.syncedEpoch == view.epoch) holdsState = true;
    }
    return holdsState && votes >= view.majority() && options_.tolerance.covers(remaining);
}

bool Cluster::canAcknowledge() const {
    const View& view = newestView();
    if (view.epoch == 0) return false;
    std::vector<std::size_t> working;
    for (std::size_t index = 0; index < nodes_.size(); ++index)
        if (isWorking(index)) working.push_back(index);
    const std::size_t all = (std::size_t{1} << working.size()) - 1;
    for (std::size_t subset = all; subset > 0; --subset) {  // mostly all of them suffice
        std::vector<std::size_t> group;
        for (std::size_t bit = 0; bit < working.size(); ++bit)
            if (subset >> bit & 1) group.push_back(working[bit]);
        if (isSufficient(group, view) && reachEachOther(group)) return true;
    }
    return false;
}

// Messages that are lost or late at random count as a fault that lasts.
void Cluster::checkAvailability() {
    const bool disturbed = network_.loss > 0 || network_.late > 0 || disks_.failure > 0;
    if (!clientRuns_ || disturbed || !canAcknowledge()) resetAvailability();
    const Millis silence = now_ - silentSince_;
    counters_.longestSilence = std::max(counters_.longestSilence, silence);
    if (silence > kAcknowledgeWithin)
        fail(fmt::format("no write is acknowledged for {:.0f} ms though a majority can", silence));
    at(now_ + kCheckEvery, [this] { checkAvailability(); });
}

}  // namespace beechpoint::replica::simulation
