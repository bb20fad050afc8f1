/// Brings this replica's table to the starting state of the view in force, and answers others that ask for it.
///
/// Owns the request that is under way and its timer. The table is the chain's; the members are those of the view. A process
/// outside the view stores answers too (a learner's copy): they count for no epoch.
///
/// States of a member in one epoch (Vertical Paxos 2009, 3: state transfer before the new configuration becomes active):
///
///   state     | event                           | what follows
///   ----------|---------------------------------|--------------------------------------------------------
///   lacking   | table is at the starting state  | stores "synced into the epoch" -> storing
///   lacking   | timer                           | asks the head, then the others in turn
///   lacking   | SyncReply that fits             | stores the table and "synced" in one update -> storing
///   lacking   | SyncReply, further ones follow  | stored in memory; asks its sender for the next chunk
///   storing   | stored                          | -> synced; the chain may pass the opening on
///   storing   | failed                          | -> lacking; the table on disk is uncertain after a reply
///   any       | sealed                          | nothing new is stored: the promise has reported what the disk holds
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/clock.hpp"
#include "replica/membership.hpp"
#include "replica/messages.hpp"
#include "replica/outbox.hpp"
#include "replica/received_state.hpp"
#include "replica/replica_table.hpp"

namespace beechpoint::replica {

class StartingState {
public:
    /// Called when an update of this class was stored.
    using Stored = std::function<void(Millis now)>;

    StartingState(const Membership& membership, Outbox& outbox, ReplicaTable& table, Stored stored)
        : membership_(membership), outbox_(outbox), table_(table), stored_(std::move(stored)) {}

    /// A new view is in force.
    void enterView(Millis now);
    /// Takes the next step towards the starting state, if one is due.
    void advance(Millis now);
    void onSyncReply(Millis now, const Message& message, const SyncReply& reply);
    /// What a process outside the view asks a member for; nothing while the disk is at work on an earlier answer.
    std::optional<SyncRequest> learnerRequest() const;
    /// An update of this class is on its way to the disk.
    bool isPersisting() const { return persisting_; }

private:
    void recordSynced(DurableUpdate update);
    void requestSync(Millis now);
    SyncRequest syncRequest() const;
    std::optional<SyncReply> completed(Millis now, const Message& message, const SyncReply& reply);
    void storeLearnedState(const SyncReply& reply);
    void storeReceivedState(const TableUpdate& update, std::optional<std::uint64_t> epoch);

    const Membership& membership_;
    Outbox& outbox_;
    ReplicaTable& table_;
    Stored stored_;
    bool persisting_ = false;
    Millis retryAt_ = 0;
    std::uint64_t requests_ = 0;  // in this epoch
    ReceivedState received_;      // of a full table in chunks
};

}  // namespace beechpoint::replica
