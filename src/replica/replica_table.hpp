/// The table of one replica as stored on its disk, with the pending batch and the committed part.
///
/// Owns the in-memory image of DurableState (except the control record). Performs no I/O: methods that make a change durable
/// return the DurableUpdate that the caller must persist, and a second method records the disk's answer.
///
/// Invariants:
///   - A position is assigned to one batch only, so tables at the same position are equal.
///   - `pending` follows the table's position; `hasStoredPending()` is true once the disk has confirmed it.
///   - The committed table only moves forward; it never holds the pending batch.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/replicated_table.hpp"
#include "replica/durable_state.hpp"
#include "replica/messages.hpp"
#include "replica/table_history.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

class ReplicaTable {
public:
    explicit ReplicaTable(DurableState state);

    /// The applied batches: the table without the pending one.
    const TableHistory& history() const { return history_; }
    const std::optional<Batch>& pending() const { return pending_; }
    bool hasStoredPending() const { return pending_ && pendingStored_; }
    /// Newest epoch whose starting state this disk holds.
    std::uint64_t syncedEpoch() const { return syncedEpoch_; }
    bool isSynced(const View& view) const { return view.epoch > 0 && syncedEpoch_ == view.epoch; }
    /// Position of the table without the pending batch.
    Position appliedPosition() const { return history_.position(); }
    /// Position of the stored state including the pending batch.
    Position storedPosition() const;
    /// Position of the table if the disk is known to hold it, else the empty position.
    Position confirmedPosition() const { return diskTableUncertain_ ? Position{} : history_.position(); }
    /// Storing a received state failed and part of it may be on disk, so only a full table can be applied.
    bool isDiskTableUncertain() const { return diskTableUncertain_; }

    // ---- Pending batch

    void setPending(Batch batch);
    /// Update with the pending batch, and with the last applied one if the disk has not confirmed that yet.
    DurableUpdate pendingUpdate() const;
    /// Records that the disk confirmed an update containing the last applied batch.
    void confirmApplied() { unconfirmedUpdate_.reset(); }
    void markPendingStored() { pendingStored_ = true; }
    /// Applies the pending batch. The update need not be forced, since the batch is already durable as pending; the next stored
    /// batch repeats it until the disk has confirmed it.
    DurableUpdate applyPending();
    /// Records that the disk confirmed the update that applied the batch at this position.
    void confirmApplied(Position position);
    /// Marks the applied state as committed.
    void commitApplied();

    // ---- Starting state of a view

    /// Update that records this disk as synced into the view's epoch; nullopt if this table is not the starting state. Drops a
    /// pending batch that is not part of the starting state.
    std::optional<DurableUpdate> syncedUpdate(const View& view);
    void markSynced(std::uint64_t epoch, Position start);
    /// Update that stores a received state; if `epoch` is set, it also syncs the disk into that epoch.
    DurableUpdate replacementUpdate(const TableUpdate& update, std::optional<std::uint64_t> epoch) const;
    /// Record the disk's answer: the state was stored, or may have been stored in part.
    void replace(const TableUpdate& update, std::optional<std::uint64_t> epoch);
    void replacementFailed() { diskTableUncertain_ = true; }
    /// Whether the reply can be applied to the table on this disk.
    bool canApply(const SyncReply& reply) const;
    /// The reply's position is beyond this table's, or it replaces an uncertain table on disk.
    bool isNewer(const SyncReply& reply) const;
    /// Reply that brings the requester to the view's starting state, or its next chunk; nullopt if this replica does not hold it.
    /// @param chunkBytes size of keys and values above which a full table is sent in chunks, if the requester accepts chunks
    std::optional<SyncReply> startingState(const View& view, const SyncRequest& request,
                                           std::size_t chunkBytes) const;
    /// Reply that brings the requester to the applied state, or its next chunk.
    SyncReply appliedState(const SyncRequest& request, std::size_t chunkBytes) const;

    // ---- Committed

    const Table& committedTable() const { return *committedSnapshot_; }
    std::shared_ptr<const Table> committedSnapshot() const { return committedSnapshot_; }
    Position committedPosition() const { return committedPosition_; }

private:
    void dropPending();
    SyncReply nextChunk(const SyncRequest& request, std::size_t chunkBytes) const;

    TableHistory history_;
    std::optional<Batch> pending_;
    bool pendingStored_ = false;
    std::optional<TableUpdate> unconfirmedUpdate_;  // last applied batch, until the disk has confirmed it
    bool diskTableUncertain_ = false;
    std::uint64_t syncedEpoch_ = 0;
    std::shared_ptr<const Table> committedSnapshot_ = std::make_shared<const Table>();
    Position committedPosition_;
};

}  // namespace beechpoint::replica
