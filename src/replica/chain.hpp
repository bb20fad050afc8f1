// The table of one replica and its part in the chain: bringing the table to the epoch's starting state, the opening of the
// epoch, and one batch at a time down the chain and its commit back up.
//
// What holds at all times:
//   - Memory follows the disk: a batch is passed on, and a starting state claimed, only after it was stored.
//   - A batch is committed when the tail has it, so every member of the epoch has it then.
//   - The starting state counts as committed once the epoch is settled: every member holds it.
//   - A position is given to one batch only; tables at the same position are equal.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/events.hpp"
#include "replica/failure_detector.hpp"
#include "replica/membership.hpp"
#include "replica/outbox.hpp"
#include "replica/table_history.hpp"

namespace beechpoint::replica {

class Chain {
public:
    Chain(const Membership& membership, Outbox& outbox, DurableState state);

    // A new view is in force. Called before this process can be sealed in it.
    void enterView(Millis now);
    void tick(Millis now);

    void write(Millis now, const ClientWrite& write);
    void onPropose(Millis now, const Message& message, const Propose& propose);
    void onCommit(Millis now, const Message& message, const Commit& commit);
    void onSyncRequest(const Message& message, const SyncRequest& request);
    void onSyncReply(const Message& message, const SyncReply& reply);
    // What a process outside the view asks a member for; nothing while the disk is at work on an earlier answer.
    std::optional<SyncRequest> lacks() const;
    // Another process's status tells of commits whose message was lost.
    void onStatus(Millis now, const Message& message, const Status& status);

    bool installed() const { return installed_; }
    bool writable() const;
    // No batch has waited here for long that may be committed elsewhere already.
    bool upToDate(Millis now) const { return installed_ && (!pending_ || now - pendingSince_ <= kFreshFor); }
    bool busy() const;  // something is on its way that a timer must look after
    std::uint64_t syncedEpoch() const { return syncedEpoch_; }
    std::uint64_t chained() const { return chained_; }
    // Of all that is stored here, the pending batch included.
    Position storedPosition() const;
    Position foldedPosition() const { return table_.position(); }
    // The same, where the disk is known to hold it.
    Position tablePosition() const { return rewriteTable_ ? Position{} : table_.position(); }
    // A process that holds this position lacks only a few batches of what is committed.
    bool isNear(Position position) const;
    // The member at which the head's item hangs, by what the others say of themselves; empty: none.
    std::string stalledAt(Millis now, const FailureDetector& detector) const;

    const Table& committedTable() const { return *served_; }
    std::shared_ptr<const Table> committedSnapshot() const { return served_; }
    Position committedPosition() const { return servedPosition_; }
    std::optional<TableUpdate> updateSince(Position position) const;

private:
    struct Write {
        std::uint64_t token;
        Position position;
        Millis deadline;
    };

    // Starting state.
    void resolveStart(Millis now);
    void claimStart(DurableUpdate update);
    void requestSync(Millis now);
    std::optional<TableUpdate> startFor(const SyncRequest& request) const;
    void learn(const SyncReply& reply);
    bool fits(const SyncReply& reply) const;
    void bring(TableUpdate update, std::optional<std::uint64_t> epoch);
    bool synced() const;

    // Opening.
    void open(Millis now);
    void installView(Millis now);

    // Batches.
    void storePending(Millis now);
    void forward(Millis now);
    void commitPending(Millis now);
    void foldPending();
    void finishWrite(WriteOutcome outcome);
    void sendUp(Position position);
    void sendDown(Propose propose);
    Propose proposalOf(const Batch& batch) const;

    const Member* predecessor() const;
    const Member* successor() const;

    const Membership& membership_;
    Outbox& outbox_;

    TableHistory table_;
    std::optional<Batch> pending_;
    bool pendingStored_ = false;
    unsigned pendingPersists_ = 0;
    Millis pendingSince_ = 0;
    Millis pendingRetryAt_ = 0;
    std::optional<TableUpdate> unconfirmedFold_;  // the last fold, until the disk has confirmed it
    std::uint64_t syncedEpoch_ = 0;

    bool startPersisting_ = false;  // a claim or a sync is on its way to the disk
    bool rewriteTable_ = false;     // a failed sync may have changed the table on disk
    Millis startRetryAt_ = 0;
    std::uint64_t syncAttempts_ = 0;

    bool installed_ = false;
    bool openingSeen_ = false;
    std::uint64_t chained_ = 0;
    Millis enteredAt_ = 0;
    Millis itemSince_ = 0;  // head: when the present item was first sent
    Millis resendAt_ = 0;   // head: when it is sent again
    std::optional<Write> write_;

    std::shared_ptr<const Table> served_ = std::make_shared<const Table>();
    Position servedPosition_;
};

}  // namespace beechpoint::replica
