/// The part of one replica in the chain (chain replication, van Renesse and Schneider 2004): the opening of the epoch, then one
/// batch at a time from the head to the tail, and its commit back from the tail to the head.
///
/// Owns the replica's table (ReplicaTable) and the transfer of the starting state (StartingState). It is part of the state machine
/// of Replica: called on the thread that calls Replica::handle(), free of I/O; actions go to the Outbox.
///
/// Items of an epoch are numbered: the opening is item 1, the batches follow. "Stored" means confirmed by this disk.
///
///   state of a member | Propose(opening)         | Propose(batch)              | Commit from the successor, or a Status
///   ------------------|--------------------------|-----------------------------|----------------------------------------
///   not synced        | noted                    | ignored                     | ignored
///   synced            | passed on; tail: install | install, then as below      | install, commit to the predecessor
///   installed         | answered with Commit     | stored, then passed on;     | pending batch applied and committed,
///                     |                          | tail: committed             | Commit to the predecessor
///   sealed            | ignored                  | ignored                     | ignored
///
/// Invariants:
///   - Memory follows the disk: a batch is passed on, and a starting state claimed, only after it was stored (update propagation
///     invariant of chain replication: a successor holds a prefix of what its predecessor holds).
///   - A batch is committed when the tail has stored it, so every member of the epoch has stored it then.
///   - The starting state counts as committed once the view is installed: every member holds it.
///   - The head proposes a batch only in an installed view, and only after the batch before is committed.
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
#include "replica/replica_table.hpp"
#include "replica/starting_state.hpp"

namespace beechpoint::replica {

class Chain {
public:
    Chain(const Membership& membership, Outbox& outbox, DurableState state);
    Chain(const Chain&) = delete;
    Chain& operator=(const Chain&) = delete;

    /// A new view is in force. Called before this process can be sealed in it.
    void enterView(Millis now);
    /// Sends again what was not answered, and ends a write whose time is over.
    void tick(Millis now);

    /// Takes a write if isWritable(); answered by WriteDone in any case.
    void write(Millis now, const ClientWrite& write);
    void onPropose(Millis now, const Message& message, const Propose& propose);
    void onCommit(Millis now, const Message& message, const Commit& commit);
    void onSyncRequest(const Message& message, const SyncRequest& request);
    void onSyncReply(Millis now, const Message& message, const SyncReply& reply);
    /// Another process's status shows commits whose message was lost.
    void onStatus(Millis now, const Message& message, const Status& status);
    /// What a process outside the view asks a member for; nothing while the disk is at work on an earlier answer.
    std::optional<SyncRequest> learnerRequest() const { return startingState_.learnerRequest(); }

    /// All members of the view are known to hold its starting state.
    bool isInstalled() const { return installed_; }
    /// Head of an installed view within tolerance, with no batch under way and a working disk.
    bool isWritable() const;
    /// Installed, and no batch has been pending for longer than kFreshDuration: a longer one may be committed elsewhere already.
    bool isUpToDate(Millis now) const;
    /// Something is under way that a timer must look after.
    bool isBusy() const;
    /// Items of the chain (opening, batches) stored in this epoch.
    std::uint64_t storedItems() const { return storedItems_; }
    const ReplicaTable& table() const { return table_; }
    /// A process that holds this position lacks at most kMaxCatchUpBytes of what is committed.
    bool isNearlyCaughtUp(Position position) const;
    /// Internal address of the member that has not stored the head's item for too long, by what the members report of
    /// themselves; empty: none.
    std::string stalledMember(Millis now, const FailureDetector& detector) const;
    /// From an older position to the committed one; nothing unless installed.
    std::optional<TableUpdate> updateSince(Position position) const;

private:
    struct Write {
        std::uint64_t token;
        Position position;
        Millis deadline;
    };

    bool isSynced() const { return table_.isSynced(membership_.view); }
    bool hasStoredBatchOfEpoch() const;
    bool hasStored(const Member& member, const FailureDetector& detector) const;

    void passOpening(Millis now);
    void installView(Millis now);
    void answerWriteAtInstallation();

    void onOpening(Millis now);
    void onBatch(Millis now, const Propose& propose);
    void setPending(Millis now, Batch batch);
    void storePending(Millis now);
    void passPending(Millis now);
    void commitPending(Millis now);
    void applyPending();
    void resend(Millis now);
    void finishWrite(WriteOutcome outcome);

    const Member* predecessor() const;
    const Member* successor() const;
    void sendToPredecessor(Position position);
    void sendToSuccessor(Propose propose);

    const Membership& membership_;
    Outbox& outbox_;
    ReplicaTable table_;
    StartingState startingState_;

    bool installed_ = false;
    bool openingReceived_ = false;
    std::uint64_t storedItems_ = 0;
    unsigned pendingPersists_ = 0;  // updates with a pending batch that the disk has not answered
    Millis pendingSince_ = 0;
    Millis pendingRetryAt_ = 0;
    Millis itemStartedAt_ = 0;  // head: when the present item was first sent
    Millis resendAt_ = 0;       // head: when it is sent again
    std::optional<Write> write_;
};

}  // namespace beechpoint::replica
