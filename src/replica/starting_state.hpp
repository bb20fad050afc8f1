/// Transfers the starting state of the current view to this replica's table.
///
/// Owns the outstanding request and its timer; the table belongs to the chain. A process outside the view stores replies too (a
/// learner's copy), but they do not sync it into any epoch.
///
/// States of a member in one epoch (Vertical Paxos 2009, 3: state transfer before the new configuration becomes active):
///
///   state     | event                           | result
///   ----------|---------------------------------|--------------------------------------------------------
///   lacking   | table is at the starting state  | stores "synced into the epoch" -> storing
///   lacking   | timer                           | sends a request to the head, then to the others in turn
///   lacking   | SyncReply that fits             | stores the table and "synced" in one update -> storing
///   lacking   | SyncReply, further ones follow  | kept in memory; requests the next chunk from its sender
///   storing   | stored                          | -> synced; the chain may forward the opening
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
    /// Called after an update by this class was stored.
    using Stored = std::function<void(Millis now)>;

    StartingState(const Membership& membership, Outbox& outbox, ReplicaTable& table, Stored stored)
        : membership_(membership), outbox_(outbox), table_(table), stored_(std::move(stored)) {}

    /// Called when a new view takes effect.
    void enterView(Millis now);
    /// Takes the next step towards the starting state, if one is due.
    void advance(Millis now);
    void onSyncReply(Millis now, const Message& message, const SyncReply& reply);
    /// Request that a learner sends to a member; nullopt while an earlier reply is being written to disk.
    std::optional<SyncRequest> learnerRequest() const;
    /// Whether an update by this class is being written to disk.
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
    ReceivedState received_;      // chunks of a full table
};

}  // namespace beechpoint::replica
