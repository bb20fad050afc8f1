/// Messages between replicas. All are one-way, and may be lost, duplicated, delayed and reordered.
///
/// The order of the members is that of the fields on the wire (control/replica_codec.cpp): new ones go last.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

/// Asks for the receiver's status; shows too that the sender runs.
struct Heartbeat {
    std::uint64_t sequence = 0;  // of the sender's rounds
    Millis sentAt = 0;           // by the sender's clock; echoed
};

/// What a process reports of itself. Other processes are named by their internal addresses.
struct Status {
    bool sealed = false;     // has promised for the next epoch
    bool installed = false;  // knows that all members of the view hold its starting state
    bool diskFailing = false;
    std::uint64_t syncedEpoch = 0;
    std::uint64_t storedItems = 0;  // items of the chain (opening, batches) stored in this epoch
    Position committed;
    std::vector<std::string> reachablePeers;  // have answered lately
    std::vector<std::string>
        unresponsivePeers;      // members of the view that have not answered for kSuspectTimeout
    std::string stalledMember;  // has not stored the sender's item for too long; empty: none
    Position stored;            // of the table on disk; a learner's progress
    bool leaving = false;       // is to end: asks for a view without it, and not to be taken in
};

struct HeartbeatReply {
    std::uint64_t sequence = 0;          // echo
    Millis sentAt = 0;                   // echo
    std::uint64_t requesterSession = 0;  // echo: the session that asked
    Status status;
};

/// From a process that no view lists: asks to be taken in. Answered by Decided when a view is known.
struct Join {};

/// Phase 1 (Paxos Made Simple, 2.2) of the agreement on the view base.epoch + 1 among the acceptors of `base` (among `founders`
/// where base.epoch is 0).
struct Prepare {
    ProposalNumber proposal;
    View base;
    std::vector<std::string> founders;  // control addresses, sorted
    bool observedDirectly = false;      // the proposer saw the cause itself; else it has it from reports
};

struct Promise {
    ProposalNumber proposal;
    std::uint64_t target = 0;  // epoch that is agreed on
    ProposalNumber accepted;
    std::optional<View> value;
    std::uint64_t syncedEpoch = 0;
    Position position;         // of all that is stored, the pending batch included
    Position appliedPosition;  // without the pending batch
    bool diskFailing = false;
};

/// The receiver of Prepare or Accept has promised a higher proposal number, or sees no cause (then `promised` is empty).
struct Reject {
    ProposalNumber proposal;  // refused
    std::uint64_t target = 0;
    ProposalNumber promised;
};

/// Phase 2.
struct Accept {
    ProposalNumber proposal;
    View base;
    std::vector<std::string> founders;
    View value;
};

struct Accepted {
    ProposalNumber proposal;
    std::uint64_t target = 0;
};

struct Decided {
    View view;
};

/// Down the chain, from head to tail. The opening is the first item of an epoch: whoever passes it on holds the starting state on
/// disk. Once it is acknowledged the starting state counts as committed.
struct Propose {
    bool opening = false;
    Position previous;  // the state that the batch follows
    Batch batch;        // opening: its position is the view's start
};

/// Up the chain: everything up to `position` is committed.
struct Commit {
    Position position;
};

/// From a member of the view: answered with the starting state. From a process outside of it: with the committed state.
struct SyncRequest {
    Position position;           // of the asker's table
    bool full = false;           // a delta will not do
    bool acceptsChunks = false;  // understands SyncReply's last fields
    Position base{};             // of the transfer in chunks that is under way; {0, 0}: none
    std::string afterKey{};      // the last key of it that has come
};

// A full table of more than kSyncChunkBytes goes in chunks, in the order of the keys. Each chunk has the rows as they are when it is sent;
// the last one also has all that changed since the first (received_state.hpp).
struct SyncReply {
    Position since;  // echo: what a delta builds on
    TableUpdate update;
    Position base{};         // of the first chunk; {0, 0}: the update is complete
    std::string afterKey{};  // echo: the chunk begins behind it; empty: with the first key
    bool more = false;       // further chunks follow
};

using Body = std::variant<Heartbeat, HeartbeatReply, Join, Prepare, Promise, Reject, Accept, Accepted,
                          Decided, Propose, Commit, SyncRequest, SyncReply>;

struct Message {
    Member from;
    std::uint64_t epoch = 0;  // of the newest view that the sender knows
    Body body;
};

}  // namespace beechpoint::replica
