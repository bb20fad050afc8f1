// The invariants that the simulated cluster checks after every step.
#include <fmt/format.h>

#include "position_text.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

namespace {

// A fresh member must show everything acknowledged before this span.
constexpr Millis kFreshLag = 1'300;

}  // namespace

void Cluster::onCommitted(std::size_t index, const Batch& batch) {
    const auto before = history_.find(batch.position.sequence - 1);
    if (before == history_.end()) return;
    Table expected = before->second.table;
    beechpoint::apply(batch.changes, expected);
    const auto known = history_.find(batch.position.sequence);
    if (known == history_.end())
        history_[batch.position.sequence] = {batch.position, expected};
    else if (known->second.position != batch.position || known->second.table != expected)
        fail(fmt::format("node {} committed another batch {} than was committed there", index,
                         text(batch.position)));
}

// There is one history: each sequence has one position and one table on all nodes.
void Cluster::checkState(std::size_t index) {
    const Replica& replica = *nodes_[index].replica;
    const Position position = replica.committedPosition();
    if (position == Position{}) {
        if (!replica.committedTable().empty()) fail("a table without a position");
        return;
    }
    const auto [entry, added] =
        history_.try_emplace(position.sequence, CommittedState{position, replica.committedTable()});
    if (added) return;
    if (entry->second.position != position || entry->second.table != replica.committedTable())
        fail(fmt::format("node {} shows {} where {} was committed", index, text(position),
                         text(entry->second.position)));
}

// The table on disk must match its position if that position was committed.
void Cluster::checkDisk(std::size_t index) {
    const DurableState& disk = nodes_[index].written;
    const auto known = history_.find(disk.position.sequence);
    if (known == history_.end() || known->second.position != disk.position) return;
    if (known->second.table != disk.table)
        fail(fmt::format("the disk of node {} holds another table at {}", index, text(disk.position)));
}

void Cluster::checkNode(std::size_t index) {
    Node& node = nodes_[index];
    const Position position = node.replica->committedPosition();
    if (position < node.lastShown)
        fail(fmt::format("node {} went back from {} to {}", index, text(node.lastShown), text(position)));
    if (position != node.lastShown) checkState(index);
    node.lastShown = position;
    if (node.leaving && node.replica->hasLeft(now_)) checkLeft(index);
    if (!node.replica->isFresh(now_)) return;
    while (acknowledgements_.size() > 1 && acknowledgements_[1].first < now_ - kFreshLag)
        acknowledgements_.pop_front();
    if (acknowledgements_.empty() || acknowledgements_.front().first >= now_ - kFreshLag) return;
    if (position < acknowledgements_.front().second)
        fail(fmt::format("node {} calls {} fresh though {} was acknowledged long ago", index, text(position),
                         text(acknowledgements_.front().second)));
}

// Nothing may depend on a process that has left: every member of the view without it holds everything acknowledged.
void Cluster::checkLeft(std::size_t index) {
    Node& node = nodes_[index];
    node.leaving = false;
    ++leftByAgreement_;
    record(fmt::format("left {}", index));
    at(now_, [this, index, session = node.session] {
        if (nodes_[index].session == session) kill(index);
    });
    const View& view = node.replica->view();
    if (view.epoch > 0 && view.findDisk(node.member) && view.members.size() > 1)
        fail(fmt::format("node {} left the view of epoch {} that lists it", index, view.epoch));
    for (const Member& member : view.members) {
        const DurableState& disk = nodes_[byAddress_[member.internalAddress]].written;
        const Position stored = disk.pending ? disk.pending->position : disk.position;
        if (disk.control.incarnation != member.incarnation) continue;  // was wiped meanwhile
        if (disk.syncedEpoch < view.epoch || stored < acknowledged_)
            fail(fmt::format("node {} left before {} held the state of epoch {}", index, member.name,
                             view.epoch));
    }
}

}  // namespace beechpoint::replica::simulation
