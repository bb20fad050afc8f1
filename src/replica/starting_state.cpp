#include "replica/starting_state.hpp"

#include <algorithm>
#include <utility>

namespace beechpoint::replica {

void StartingState::enterView(Millis now) {
    retryAt_ = now;
    requests_ = 0;
    received_.enterView();
    advance(now);
}

// Not while sealed: a promise has reported what the disk holds, and the next view may build on it.
void StartingState::advance(Millis now) {
    if (!membership_.isInChain() || membership_.sealed || table_.isSynced(membership_.view)) return;
    if (persisting_ || now < retryAt_) return;
    retryAt_ = now + kChainRetryInterval;
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

// Sends requests to the head first, then to the others in turn.
void StartingState::requestSync(Millis now) {
    if (!membership_.isActive()) return;
    const auto& members = membership_.view.members;
    std::size_t choice = requests_ % members.size();
    ++requests_;
    if (choice == *membership_.index) choice = (choice + 1) % members.size();
    if (choice == *membership_.index) return;
    outbox_.send(members[choice].internalAddress, syncRequest());
    // Once all members were tried, the transfer itself is slow, and more frequent requests would slow it down further.
    const std::size_t rounds = (requests_ - 1) / members.size();
    const std::size_t doublings = std::min(rounds, kSyncRetryDoublings);
    retryAt_ = now + kChainRetryInterval * static_cast<Millis>(std::size_t{1} << doublings);
}

SyncRequest StartingState::syncRequest() const {
    SyncRequest request{table_.appliedPosition(), table_.isDiskTableUncertain()};
    received_.describe(request);
    return request;
}

// Returns the reply, or the state that it completes. nullopt: it was a chunk, and more chunks are needed.
std::optional<SyncReply> StartingState::completed(Millis now, const Message& message,
                                                  const SyncReply& reply) {
    if (reply.base == Position{}) return reply;
    const auto source = membership_.isInChain() ? ReceivedState::Source::startingState
                                                : ReceivedState::Source::committedState;
    const SyncRequest before = syncRequest();
    std::optional<TableUpdate> update = received_.onChunk(reply, source);
    if (update) return SyncReply{reply.since, std::move(*update)};
    const SyncRequest next = syncRequest();
    // Request the next chunk only after progress: a repeated chunk would start a second stream of requests.
    if (next.base == before.base && next.afterKey == before.afterKey) return std::nullopt;
    retryAt_ = std::max(retryAt_, now + kChainRetryInterval);
    outbox_.send(message.from.internalAddress, next);
    return std::nullopt;
}

void StartingState::onSyncReply(Millis now, const Message& message, const SyncReply& reply) {
    const View& view = membership_.view;
    if (persisting_) return;
    if (!membership_.isInChain()) {
        if (const auto complete = completed(now, message, reply)) storeLearnedState(*complete);
        return;
    }
    if (message.epoch != view.epoch || !view.findDisk(message.from) || !membership_.isActive()) return;
    if (table_.isSynced(view)) return;
    const auto complete = completed(now, message, reply);
    if (!complete || complete->update.position != view.start) return;
    if (table_.canApply(*complete)) storeReceivedState(complete->update, view.epoch);
}

std::optional<SyncRequest> StartingState::learnerRequest() const {
    if (persisting_) return std::nullopt;
    return syncRequest();
}

// The synced epoch is unchanged, so the copy has no effect until a view that lists this process has brought it to its starting
// state. Committed state remains committed in every later view and only grows, so older replies are dropped.
void StartingState::storeLearnedState(const SyncReply& reply) {
    if (table_.isNewer(reply) && table_.canApply(reply)) storeReceivedState(reply.update, std::nullopt);
}

// If `epoch` is set, the update is that epoch's starting state and syncs this disk into the epoch.
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
