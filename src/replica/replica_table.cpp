#include "replica/replica_table.hpp"

#include <utility>

namespace beechpoint::replica {

ReplicaTable::ReplicaTable(DurableState state)
    : history_(std::move(state.table), state.position),
      pending_(std::move(state.pending)),
      pendingStored_(pending_.has_value()),
      syncedEpoch_(state.syncedEpoch) {}

Position ReplicaTable::storedPosition() const {
    return hasStoredPending() ? pending_->position : history_.position();
}

// ---- Pending batch

void ReplicaTable::setPending(Batch batch) {
    pending_ = std::move(batch);
    pendingStored_ = false;
}

void ReplicaTable::dropPending() {
    pending_.reset();
    pendingStored_ = false;
}

DurableUpdate ReplicaTable::pendingUpdate() const {
    DurableUpdate update;
    update.table = unconfirmedUpdate_;
    update.pending = pending_;
    return update;
}

DurableUpdate ReplicaTable::applyPending() {
    const TableUpdate change{pending_->position, false, pending_->changes};
    history_.applyBatch(*pending_);
    dropPending();
    unconfirmedUpdate_ = change;
    DurableUpdate update;
    update.table = change;
    update.clearPending = true;
    update.force = false;
    return update;
}

void ReplicaTable::confirmApplied(Position position) {
    if (unconfirmedUpdate_ && unconfirmedUpdate_->position == position) unconfirmedUpdate_.reset();
}

void ReplicaTable::commitApplied() {
    committedSnapshot_ = history_.snapshot();
    committedPosition_ = history_.position();
}

// ---- Starting state of a view

std::optional<DurableUpdate> ReplicaTable::syncedUpdate(const View& view) {
    DurableUpdate update;
    update.syncedEpoch = view.epoch;
    if (pending_ && pending_->position == view.start) {
        update.pending = pending_;
    } else if (history_.position() == view.start) {
        dropPending();
        update.clearPending = true;
    } else {
        return std::nullopt;
    }
    update.table = diskTableUncertain_ ? history_.fullUpdate() : unconfirmedUpdate_;
    return update;
}

void ReplicaTable::markSynced(std::uint64_t epoch, Position start) {
    diskTableUncertain_ = false;
    unconfirmedUpdate_.reset();
    if (pending_ && pending_->position == start) pendingStored_ = true;
    syncedEpoch_ = epoch;
}

DurableUpdate ReplicaTable::replacementUpdate(const TableUpdate& update,
                                              std::optional<std::uint64_t> epoch) const {
    DurableUpdate change;
    change.table = update;
    if (!update.whole && unconfirmedUpdate_) {
        change.table->changes = unconfirmedUpdate_->changes;
        change.table->changes.insert(change.table->changes.end(), update.changes.begin(),
                                     update.changes.end());
    }
    change.clearPending = true;
    change.syncedEpoch = epoch;
    return change;
}

void ReplicaTable::replace(const TableUpdate& update, std::optional<std::uint64_t> epoch) {
    diskTableUncertain_ = false;
    history_.applyUpdate(update);
    dropPending();
    unconfirmedUpdate_.reset();
    if (epoch) syncedEpoch_ = *epoch;
}

bool ReplicaTable::canApply(const SyncReply& reply) const {
    return reply.update.whole || (!diskTableUncertain_ && reply.since == history_.position());
}

bool ReplicaTable::isNewer(const SyncReply& reply) const {
    if (reply.update.position > history_.position()) return true;
    return diskTableUncertain_ && reply.update.position == history_.position();
}

std::optional<SyncReply> ReplicaTable::startingState(const View& view, const SyncRequest& request,
                                                     std::size_t chunkBytes) const {
    const bool withPending = hasStoredPending() && pending_->position == view.start;
    if (!withPending && history_.position() != view.start) return std::nullopt;
    SyncReply reply = appliedState(request, chunkBytes);
    if (!withPending || reply.more) return reply;
    std::vector<Change>& changes = reply.update.changes;
    changes.insert(changes.end(), pending_->changes.begin(), pending_->changes.end());
    reply.update.position = pending_->position;
    return reply;
}

SyncReply ReplicaTable::appliedState(const SyncRequest& request, std::size_t chunkBytes) const {
    const bool isDelta = !request.full && history_.reachesBackTo(request.position);
    const bool inChunks = request.acceptsChunks && !isDelta && history_.tableBytes() > chunkBytes;
    if (inChunks) return nextChunk(request, chunkBytes);
    SyncReply reply;
    reply.since = request.position;
    reply.update = request.full ? history_.fullUpdate() : history_.updateSince(request.position);
    return reply;
}

// A transfer continues only if the history contains all changes since its first chunk; otherwise it restarts.
SyncReply ReplicaTable::nextChunk(const SyncRequest& request, std::size_t chunkBytes) const {
    const bool isContinuing = !request.afterKey.empty() && history_.reachesBackTo(request.base);
    SyncReply reply;
    reply.since = request.position;
    reply.base = isContinuing ? request.base : history_.position();
    if (isContinuing) reply.afterKey = request.afterKey;
    TableHistory::Rows rows = history_.rowsAfter(reply.afterKey, chunkBytes);
    reply.more = !rows.reachesEnd;
    reply.update = {history_.position(), true, std::move(rows.changes)};
    if (reply.more) return reply;
    const TableUpdate since = history_.updateSince(reply.base);
    std::vector<Change>& changes = reply.update.changes;
    changes.insert(changes.end(), since.changes.begin(), since.changes.end());
    return reply;
}

}  // namespace beechpoint::replica
