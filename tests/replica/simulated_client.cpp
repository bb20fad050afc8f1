// The simulated cluster's client: writes, reads and their answers.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "position_text.hpp"
#include "simulated_cluster.hpp"

namespace beechpoint::replica::simulation {

void Cluster::startClient() {
    clientRuns_ = true;
    resetAvailability();
    clientStep();
}

void Cluster::clientStep() {
    if (!clientRuns_) return;
    write();
    if (++clientSteps_ % 2 == 0) readOnce();
    at(now_ + draw(options_.writeEvery / 2, options_.writeEvery * 1.5), [this] { clientStep(); });
}

// Sends a write to every process that considers itself writable, so that two simultaneous heads would be detected.
void Cluster::write() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!up(index) || frozen(index) || !replica(index).isWritable()) continue;
        const std::uint64_t token = nextToken_++;
        const std::uint64_t value = nextValue_++;
        OpenWrite open{index, nodes_[index].session, fmt::format("key/{}", value % 50),
                       std::to_string(value)};
        std::vector<Change> changes{{open.key, open.value}, {"meta/version", open.value}};
        if (value % 7 == 0) changes.push_back({fmt::format("key/{}", (value + 3) % 50), std::nullopt});
        openWrites_[token] = open;
        ++counters_.writesOffered;
        deliver(index, ClientWrite{token, std::move(changes)});
        if (afterWrite_) at(now_ + draw(0, 25), std::exchange(afterWrite_, nullptr));
    }
}

bool Cluster::writeInFlight() const {
    return std::ranges::any_of(openWrites_, [&](const auto& entry) {
        const OpenWrite& open = entry.second;
        return nodes_[open.node].session == open.session && nodes_[open.node].replica;
    });
}

void Cluster::countFault() {
    ++counters_.faults;
    if (writeInFlight()) ++counters_.faultsWithWriteInFlight;
}

void Cluster::readOnce() {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (!up(index) || frozen(index) || !replica(index).isTail()) continue;
        const std::uint64_t token = nextToken_++;
        openReads_[token] = {index, nodes_[index].session, acknowledged_};
        deliver(index, ReadBarrier{token});
    }
}

void Cluster::onWriteDone(std::size_t index, const WriteDone& done) {
    const auto found = openWrites_.find(done.token);
    if (found == openWrites_.end()) return fail("a write was answered twice");
    const OpenWrite open = found->second;
    openWrites_.erase(found);
    if (done.outcome != WriteOutcome::committed) return;
    ++counters_.writesAcknowledged;
    resetAvailability();
    const Replica& head = replica(index);
    const auto entry = head.committedTable().find(open.key);
    if (entry == head.committedTable().end() || entry->second != open.value)
        return fail(fmt::format("node {} acknowledged a write that its table lacks", index));
    // An answer may be delayed because the head was suspended; its batch must then be in the history already.
    checkState(index);
    if (head.committedPosition() > acknowledged_) {
        acknowledged_ = head.committedPosition();
        acknowledgements_.emplace_back(now_, acknowledged_);
    }
    if (afterAcknowledgement_) std::exchange(afterAcknowledgement_, nullptr)();
}

void Cluster::onReadDone(std::size_t index, const ReadDone& done) {
    const auto found = openReads_.find(done.token);
    if (found == openReads_.end()) return fail("a read was answered twice");
    const OpenRead open = found->second;
    openReads_.erase(found);
    if (!done.ok) return;
    ++counters_.readsDone;
    if (replica(index).committedPosition() < open.floor)
        fail(fmt::format("node {} reads {} though {} was acknowledged", index,
                         text(replica(index).committedPosition()), text(open.floor)));
}

}  // namespace beechpoint::replica::simulation
