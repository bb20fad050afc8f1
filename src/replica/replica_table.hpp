/// The table of one replica as its disk holds it, with the batch that is pending and with what of it is committed.
///
/// Owns the in-memory image of DurableState (but for the control record). It sends and persists nothing: methods that make a
/// change durable return the DurableUpdate that their caller persists, and a second method takes the answer of the disk.
///
/// Invariants:
///   - A position is given to one batch only, so tables at the same position are equal.
///   - `pending` follows the table's position; `hasStoredPending()` says that the disk confirmed it.
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
    /// Newest epoch whose starting state this disk was brought to.
    std::uint64_t syncedEpoch() const { return syncedEpoch_; }
    bool isSynced(const View& view) const { return view.epoch > 0 && syncedEpoch_ == view.epoch; }
    /// Position of the table without the pending batch.
    Position appliedPosition() const { return history_.position(); }
    /// Position of all that is stored here, the pending batch included.
    Position storedPosition() const;
    /// Position of the table where the disk is known to hold it; else the empty position.
    Position confirmedPosition() const { return diskTableUncertain_ ? Position{} : history_.position(); }
    /// A starting state was not stored, though part of it may stand on disk: only a full table helps.
    bool isDiskTableUncertain() const { return diskTableUncertain_; }

    // ---- Pending batch

    void setPending(Batch batch);
    /// Stores the pending batch, and with it the last applied one if the disk has not confirmed that yet.
    DurableUpdate pendingUpdate() const;
    /// The last applied batch was part of an update that is stored now.
    void confirmApplied() { unconfirmedUpdate_.reset(); }
    void markPendingStored() { pendingStored_ = true; }
    /// Applies the pending batch. The update needs no sync of its own, since the batch is durable as pending; the next stored
    /// batch repeats it until the disk has confirmed it.
    DurableUpdate applyPending();
    /// The disk has confirmed the update that applied the batch at this position.
    void confirmApplied(Position position);
    /// What is applied is committed.
    void commitApplied();

    // ---- Starting state of a view

    /// Update that records this disk as synced into the view's epoch; nothing where this table isn't the starting state. Drops a
    /// pending batch that the view does not start from.
    std::optional<DurableUpdate> syncedUpdate(const View& view);
    void markSynced(std::uint64_t epoch, Position start);
    /// Update by a received state; with an epoch, the disk is synced into that epoch by it.
    DurableUpdate replacementUpdate(const TableUpdate& update, std::optional<std::uint64_t> epoch) const;
    /// The disk has answered: the state was stored, or may have been stored in part.
    void replace(const TableUpdate& update, std::optional<std::uint64_t> epoch);
    void replacementFailed() { diskTableUncertain_ = true; }
    /// Whether the reply builds on the table that this disk holds.
    bool canApply(const SyncReply& reply) const;
    /// The reply's position is beyond this table's, or it replaces an uncertain table on disk.
    bool isNewer(const SyncReply& reply) const;
    /// What brings the asker to the view's starting state, or the next chunk of it; nothing where this replica doesn't hold that state.
    /// @param chunkBytes of keys and values: a full table with more goes in chunks to an asker that accepts them
    std::optional<SyncReply> startingState(const View& view, const SyncRequest& request,
                                           std::size_t chunkBytes) const;
    /// What brings the asker to the applied state, or the next chunk of it.
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
    std::optional<TableUpdate> unconfirmedUpdate_;  // the last applied batch, until the disk has confirmed it
    bool diskTableUncertain_ = false;
    std::uint64_t syncedEpoch_ = 0;
    std::shared_ptr<const Table> committedSnapshot_ = std::make_shared<const Table>();
    Position committedPosition_;
};

}  // namespace beechpoint::replica
