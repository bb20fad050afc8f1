/// Chain replication (van Renesse and Schneider 2004) on one replica: the opening of the epoch, then one batch at a time
/// from the head to the tail, with the commit sent back from the tail to the head.
///
/// Owns the replica's table (ReplicaTable) and the transfer of the starting state (StartingState). It is part of the state machine
/// of Replica: called on the thread that calls Replica::handle(), performs no I/O; emits its actions to the Outbox.
///
/// Items of an epoch are numbered: the opening is item 1, the batches follow. "Stored" means confirmed by the local disk.
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
///   - A batch is forwarded, and a starting state reported as held, only after it was stored (update propagation
///     invariant of chain replication: a successor holds a prefix of its predecessor's state).
///   - A batch is committed once the tail has stored it; by then every member of the epoch has stored it.
///   - The starting state is committed once the view is installed, since every member holds it.
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

    /// Called when a new view takes effect, before this process can be sealed in it.
    void enterView(Millis now);
    /// Resends unanswered messages and fails a write whose deadline has passed.
    void tick(Millis now);

    /// Accepts a write if isWritable(); always answered by WriteDone.
    void write(Millis now, const ClientWrite& write);
    void onPropose(Millis now, const Message& message, const Propose& propose);
    void onCommit(Millis now, const Message& message, const Commit& commit);
    void onSyncRequest(const Message& message, const SyncRequest& request);
    void onSyncReply(Millis now, const Message& message, const SyncReply& reply);
    /// Applies commits whose message was lost but which another process's status reports.
    void onStatus(Millis now, const Message& message, const Status& status);
    /// Request that a learner sends to a member; nullopt while an earlier reply is being written to disk.
    std::optional<SyncRequest> learnerRequest() const { return startingState_.learnerRequest(); }

    /// Whether all members of the view are known to hold its starting state.
    bool isInstalled() const { return installed_; }
    /// Whether this process is the head of an installed view that meets the tolerance, with no batch in flight and a
    /// working disk.
    bool isWritable() const;
    /// Whether the view is installed and no batch has been pending for longer than kFreshDuration. A batch that is pending
    /// for longer may already be committed at other members.
    bool isUpToDate(Millis now) const;
    /// Whether an operation is in progress that needs a timer.
    bool isBusy() const;
    /// Number of chain items (opening, batches) stored in this epoch.
    std::uint64_t storedItems() const { return storedItems_; }
    const ReplicaTable& table() const { return table_; }
    /// Whether a process at this position lacks at most kMaxCatchUpBytes of the committed changes.
    bool isNearlyCaughtUp(Position position) const;
    /// Internal address of the first member that, according to the status reports, has exceeded the time limit for storing the head's
    /// current item although its predecessor is able to forward it; empty if there is none.
    std::string stalledMember(Millis now, const FailureDetector& detector) const;
    /// Update from an older position to the committed one; nullopt unless the view is installed.
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
    bool forwardsTo(Millis now, const Member& member, const Member& successor,
                    const FailureDetector& detector) const;
    bool runs(Millis now, const Member& member, const FailureDetector& detector) const;

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
    unsigned pendingPersists_ = 0;  // unanswered disk updates that contain a pending batch
    Millis pendingSince_ = 0;
    Millis pendingRetryAt_ = 0;
    Millis itemStartedAt_ = 0;  // head: when the current item was first sent
    Millis resendAt_ = 0;       // head: when it is resent
    std::optional<Write> write_;
};

}  // namespace beechpoint::replica
