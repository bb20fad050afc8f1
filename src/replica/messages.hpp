/// Messages between replicas. All are one-way, and may be lost, duplicated, delayed and reordered.
///
/// The order of the struct members is that of the fields on the wire (control/replica_codec.cpp): append new ones at the end.
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

/// Requests the receiver's status and shows that the sender is running.
struct Heartbeat {
    std::uint64_t sequence = 0;  // number of the sender's round
    Millis sentAt = 0;           // by the sender's clock; echoed
};

/// Status that a process reports about itself. Other processes are identified by their internal addresses.
struct Status {
    bool sealed = false;     // has promised for the next epoch
    bool installed = false;  // all members of the view are known to hold its starting state
    bool diskFailing = false;
    std::uint64_t syncedEpoch = 0;
    std::uint64_t storedItems = 0;  // chain items (opening, batches) stored in this epoch
    Position committed;
    std::vector<std::string> reachablePeers;  // have replied recently
    std::vector<std::string>
        unresponsivePeers;      // members of the view that have not answered for kSuspectTimeout
    std::string stalledMember;  // is too slow to store the sender's current item; empty: none
    Position stored;            // of the table on disk; a learner's progress
    bool leaving = false;       // requests a view without this process and must not be added to one
};

struct HeartbeatReply {
    std::uint64_t sequence = 0;          // echo
    Millis sentAt = 0;                   // echo
    std::uint64_t requesterSession = 0;  // echo: session of the requester
    Status status;
};

/// Request by an unlisted process to be added to the view. Answered by Decided if a view is known.
struct Join {};

/// Phase 1 (Paxos Made Simple, 2.2) of the agreement on the view base.epoch + 1 among the acceptors of `base` (among `founders`
/// if base.epoch is 0).
struct Prepare {
    ProposalNumber proposal;
    View base;
    std::vector<std::string> founders;  // control addresses, sorted
    bool observedDirectly = false;      // the proposer observed the cause itself, not only through reports
};

struct Promise {
    ProposalNumber proposal;
    std::uint64_t target = 0;  // epoch of the view to agree on
    ProposalNumber accepted;
    std::optional<View> value;
    std::uint64_t syncedEpoch = 0;
    Position position;         // of the stored state including the pending batch
    Position appliedPosition;  // without the pending batch
    bool diskFailing = false;
};

/// Rejects Prepare or Accept: the sender has promised a higher proposal number, or observes no cause (then `promised` is empty).
struct Reject {
    ProposalNumber proposal;  // rejected
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

/// Sent down the chain, from head to tail. The opening is the first item of an epoch; a member forwards it only with the
/// starting state on disk. Once it is acknowledged, the starting state is committed.
struct Propose {
    bool opening = false;
    Position previous;  // the state that the batch follows
    Batch batch;        // for an opening, its position is the view's start
};

/// Sent up the chain: everything up to `position` is committed.
struct Commit {
    Position position;
};

/// Requests a state transfer: of the starting state for a member of the view, of the committed state for any other process.
struct SyncRequest {
    Position position;           // of the requester's table
    bool full = false;           // a delta cannot be applied
    bool acceptsChunks = false;  // supports the last fields of SyncReply
    Position base{};             // of the chunked transfer in progress; {0, 0}: none
    std::string afterKey{};      // last key received in this transfer
};

// A full table larger than kSyncChunkBytes is sent in chunks ordered by key. Each chunk contains the rows as of the time it is
// sent; the last one also contains all changes since the first (received_state.hpp).
struct SyncReply {
    Position since;  // echo: base of a delta
    TableUpdate update;
    Position base{};         // of the first chunk; {0, 0}: the update is complete
    std::string afterKey{};  // echo: the chunk starts after this key; empty: at the first key
    bool more = false;       // further chunks follow
};

using Body = std::variant<Heartbeat, HeartbeatReply, Join, Prepare, Promise, Reject, Accept, Accepted,
                          Decided, Propose, Commit, SyncRequest, SyncReply>;

struct Message {
    Member from;
    std::uint64_t epoch = 0;  // of the sender's newest view
    Body body;
};

}  // namespace beechpoint::replica
