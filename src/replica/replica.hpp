/// One replica of the replicated table: agrees with the others on a view (which processes, in which order, from which state) and
/// passes batches along the chain that the view orders.
///
/// What it is: a state machine. Events and the time go in, actions come out; no I/O, clocks or threads. What it is not: it keeps no
/// files, sends no datagrams and knows nothing of what the table's values mean (control/, storage/). The driver owns it, carries
/// out the actions, answers Persist in order, and calls handle() with Tick at the time of the last SetTimer. All calls come from one
/// thread; committedSnapshot() may be handed to others.
///
/// Sources: chain replication (van Renesse and Schneider 2004) for batches, Vertical Paxos (Lamport, Malkhi, Zhou 2009) for views
/// that are agreed on by the members of the view before, Paxos Made Simple (2001) for each agreement, Raft thesis (2014) chapter 4
/// for who votes and 6.4 for reads.
///
///   state          | entered by                                  | what it does
///   ---------------|---------------------------------------------|---------------------------------------------------
///   not in a view  | start, view without this process            | asks to join, copies the table; votes in the last
///                  |                                             | view that names its disk as a voter
///   not synced     | view with this process                      | fetches the starting state
///   synced         | starting state on disk                      | passes the opening on
///   installed      | all members are known to hold that state    | head: takes writes; tail: answers reads; all: polls
///   sealed         | promise for the next view                   | no further part in this view
///   leaving        | Leave                                       | as before, until a view without it is installed
///
/// Invariants, kept together by the parts (see there):
///   - An epoch has one view, and an acknowledged batch is part of every later view's starting state.
///   - Nothing is acknowledged before every member of the view has stored it.
///   - What was promised, accepted or claimed to others was on disk before.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/durable_state.hpp"
#include "replica/events.hpp"
#include "replica/settings.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

class ReplicaCore;

class Replica {
public:
    /// `seed` must differ at each start: the session and a new incarnation are drawn from it.
    Replica(Settings settings, DurableState state, std::uint64_t seed, Millis now);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    /// Appends to `actions`. `now` never goes back; it must be read after the event was received.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// The newest state known to be committed; empty until this process was in an installed view. Never goes back.
    const Table& committedTable() const;
    std::shared_ptr<const Table> committedSnapshot() const;
    Position committedPosition() const;
    /// From an older position to the committed one: a delta where the history reaches back so far, else the full table. Nothing
    /// while the view is not installed, or where the asker's position is newer.
    std::optional<TableUpdate> updateSince(Position position) const;

    const Member& self() const;
    const View& view() const;
    bool isInView() const;  ///< The view lists this very process.
    bool isHead() const;
    bool isTail() const;
    bool isWritable() const;  ///< Head of an installed view, within tolerance, nothing in flight.
    /// May answer polls: installed, and in contact with a majority of the voters within kFreshDuration.
    bool isFresh(Millis now) const;
    /// After Leave: nothing depends on this process any more. The newest view lists neither it nor its disk, and all members of that
    /// view hold its starting state; or there is nobody to leave to. May never come true: the caller waits for a bounded time.
    bool hasLeft(Millis now) const;

private:
    std::unique_ptr<ReplicaCore> core_;
};

}  // namespace beechpoint::replica
