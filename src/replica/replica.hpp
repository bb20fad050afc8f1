// One holder of the replicated table: agrees with the others on a view and passes batches along the chain that the view
// orders. A state machine: events and the time go in, actions come out. No I/O, clocks or threads; the driver carries
// out the actions, answers Persist in order, and calls handle() with Tick at the time of the last SetTimer.
//
//   not in a view  -> asks to join; votes in the last view that lists its disk
//   in a view      -> not synced -> synced (holds the starting state on disk) -> settled (all members do)
//   sealed         -> has promised for the next view: takes no further part in the present one
//   leaving        -> goes on as before until a view without it is settled; does not ask to join
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

class Replica {
public:
    // `seed` must differ at each start: the session and a new incarnation are drawn from it.
    Replica(Settings settings, DurableState state, std::uint64_t seed, Millis now);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    // `now` never goes back; it must be read after the event was received.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    // The newest state known to be committed; empty until this process was in a settled view. Never goes back.
    const Table& committedTable() const;
    std::shared_ptr<const Table> committedSnapshot() const;
    Position committedPosition() const;
    // From an older position to the committed one: a delta where the history reaches back so far, else the whole
    // table. Nothing while this process may not vouch for its state (not settled).
    std::optional<TableUpdate> updateSince(Position position) const;

    const Member& self() const;
    const View& view() const;
    bool inView() const;  // the view lists this very process
    bool isHead() const;
    bool isTail() const;
    bool writable() const;         // head, settled, within tolerance, nothing in flight
    bool fresh(Millis now) const;  // may answer polls
    // After Leave: nothing hangs on this process any more. The newest view lists neither it nor its disk, and all members of
    // that view hold its starting state; or there is nobody to leave to. May never come true: the caller waits for a bounded time.
    bool hasLeft(Millis now) const;

private:
    class Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace beechpoint::replica
