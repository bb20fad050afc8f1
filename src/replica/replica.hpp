/// One replica of the replicated table: agrees with the others on a view (its members, their order and the starting state) and
/// forwards batches along the chain that the view defines.
///
/// A deterministic state machine: it takes events and the time and returns actions, without I/O, clocks or threads. Files,
/// datagrams and the meaning of the table's values are handled elsewhere (control/, storage/). The driver owns it, executes the
/// actions, answers Persist in order, and calls handle() with Tick at the time of the last SetTimer. All calls must come from one
/// thread; the result of committedSnapshot() may be passed to others.
///
/// Sources: chain replication (van Renesse and Schneider 2004) for batches, Vertical Paxos (Lamport, Malkhi, Zhou 2009) for views
/// that are agreed on by the members of the previous view, Paxos Made Simple (2001) for each agreement, Raft thesis (2014) chapter 4
/// for the set of voters and 6.4 for reads.
///
///   state          | entered by                                  | behaviour
///   ---------------|---------------------------------------------|---------------------------------------------------
///   not in a view  | start, view without this process            | sends Join, copies the table; votes in the last
///                  |                                             | view that names its disk as a voter
///   not synced     | view with this process                      | fetches the starting state
///   synced         | starting state on disk                      | forwards the opening
///   installed      | all members are known to hold that state    | head: accepts writes; tail: reads; all: polls
///   sealed         | promise for the next view                   | no longer participates in this view
///   leaving        | Leave                                       | as before, until a view without it is installed
///
/// Invariants, maintained jointly by the components (see there):
///   - An epoch has one view, and an acknowledged batch is part of every later view's starting state.
///   - Nothing is acknowledged before every member of the view has stored it.
///   - Anything promised, accepted or reported to others was on disk before.
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
    /// @param seed must differ at each start: the session and a new incarnation are drawn from it
    Replica(Settings settings, DurableState state, std::uint64_t seed, Millis now);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    /// Handles an event and appends to `actions`. `now` must not decrease and must be read after the event was received.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// The newest state known to be committed; empty until this process was in an installed view. Never moves backwards.
    const Table& committedTable() const;
    std::shared_ptr<const Table> committedSnapshot() const;
    Position committedPosition() const;
    /// Update from an older position to the committed one: a delta if the history reaches back that far, else the full table.
    /// nullopt while the view is not installed, or if `position` is newer than the committed one.
    std::optional<TableUpdate> updateSince(Position position) const;

    const Member& self() const;
    const View& view() const;
    bool isInView() const;  ///< The view lists this process with its current session.
    bool isHead() const;
    bool isTail() const;
    bool isWritable() const;  ///< Head of an installed view, within tolerance, nothing in flight.
    /// Whether it may answer polls: the view is installed and a majority of the voters was in contact within kFreshDuration.
    bool isFresh(Millis now) const;
    /// Whether this process may shut down after Leave: the newest view lists neither it nor its disk and all members of that view
    /// hold its starting state, or no other process can take over. May never become true, so the caller must bound its wait.
    bool hasLeft(Millis now) const;

private:
    std::unique_ptr<ReplicaCore> core_;
};

}  // namespace beechpoint::replica
