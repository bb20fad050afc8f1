#include "replica/starting_state.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

void StartingState::enterView(Millis now) {
    retryAt_ = now;
    requests_ = 0;
    advance(now);
}

// Not while sealed: a promise has reported what the disk holds, and the next view may build on it.
void StartingState::advance(Millis now) {
    if (!membership_.inChain() || membership_.sealed || table_.isSynced(membership_.view)) return;
    if (persisting_ || now < retryAt_) return;
    retryAt_ = now + kChainRetry;
    std::optional<DurableUpdate> update = table_.syncedUpdate(membership_.view);
    if (update)
        recordSynced(std::move(*update));
    else
        requestSync(now);
}

void StartingState::recordSynced(DurableUpdate update) {
    const std::uint64_t epoch = membership_.view.epoch;
    const Position start = membership_.view.start;
    persisting_ = true;
    outbox_.persist(std::move(update), [this, epoch, start](Millis now, bool stored) {
        persisting_ = false;
        if (!stored) return;
        table_.markSynced(epoch, start);
        retryAt_ = now;
        advance(now);
        stored_(now);
    });
}

// Asks the head first, then the others in turn.
void StartingState::requestSync(Millis now) {
    if (!membership_.active()) return;
    const auto& members = membership_.view.members;
    std::size_t choice = requests_ % members.size();
    ++requests_;
    if (choice == *membership_.index) choice = (choice + 1) % members.size();
    if (choice == *membership_.index) return;
    const SyncRequest request{table_.appliedPosition(), table_.isDiskTableUncertain()};
    outbox_.send(members[choice].internalAddress, request);
    // Once all were asked, the transfer itself takes its time: requests that come more often would slow it down further.
    const std::size_t rounds = (requests_ - 1) / members.size();
    const std::size_t doublings = std::min(rounds, kSyncRetryDoublings);
    retryAt_ = now + kChainRetry * static_cast<Millis>(std::size_t{1} << doublings);
}

void StartingState::onSyncReply(const Message& message, const SyncReply& reply) {
    const View& view = membership_.view;
    if (persisting_) return;
    if (!membership_.inChain()) {
        storeLearnedState(reply);
        return;
    }
    if (message.epoch != view.epoch || !view.findDisk(message.from) || !membership_.active()) return;
    if (table_.isSynced(view) || reply.update.position != view.start) return;
    if (table_.canApply(reply)) storeReceivedState(reply.update, view.epoch);
}

std::optional<SyncRequest> StartingState::learnerRequest() const {
    if (persisting_) return std::nullopt;
    return SyncRequest{table_.appliedPosition(), table_.isDiskTableUncertain()};
}

// The synced epoch stays as it is, so the copy counts for nothing until a view that lists this process has brought it to its
// starting state. What was committed stays committed, whichever view is in force now, and only grows: an older answer is
// dropped.
void StartingState::storeLearnedState(const SyncReply& reply) {
    if (table_.isNewer(reply) && table_.canApply(reply)) storeReceivedState(reply.update, std::nullopt);
}

// With an epoch, the update is that epoch's starting state, and this disk is synced into the epoch by it.
void StartingState::storeReceivedState(const TableUpdate& update, std::optional<std::uint64_t> epoch) {
    persisting_ = true;
    outbox_.persist(table_.replacementUpdate(update, epoch), [this, epoch, update](Millis now, bool stored) {
        persisting_ = false;
        if (!stored) {
            table_.replacementFailed();
            return;
        }
        table_.replace(update, epoch);
        retryAt_ = now;
        advance(now);
        stored_(now);
    });
}

}  // namespace beechpoint::replica
