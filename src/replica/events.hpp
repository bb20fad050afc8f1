/// Input events and output actions of a replica.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/replicated_table.hpp"
#include "replica/durable_state.hpp"
#include "replica/messages.hpp"

namespace beechpoint::replica {

struct MessageReceived {
    Message message;
};
struct Persisted {
    std::uint64_t token = 0;
};
struct PersistFailed {
    std::uint64_t token = 0;
    std::string reason;
};
struct Tick {};
/// A write. Its changes must be computed from the head's committed table in the same call of the event loop.
struct ClientWrite {
    std::uint64_t token = 0;
    std::vector<Change> changes;
};
/// Requests a linearizable read; answered by ReadDone. If ok, committedTable() then contains everything acknowledged before
/// this event.
struct ReadBarrier {
    std::uint64_t token = 0;
};
/// Disk health that the driver determined independently of the answers to Persist.
struct DiskHealth {
    bool failing = false;
};
/// The settings were reloaded.
struct SeedsChanged {
    std::vector<std::string> seeds;  // control addresses
};
/// Requests that this process leave the group before it shuts down. It stays a full member until a view without it is
/// installed; see Replica::hasLeft().
struct Leave {};
using Event = std::variant<MessageReceived, Persisted, PersistFailed, Tick, ClientWrite, ReadBarrier,
                           DiskHealth, SeedsChanged, Leave>;

struct Send {
    std::string address;  // internal address
    Message message;
};
/// To be executed in order; answered by Persisted or PersistFailed, in order.
struct Persist {
    std::uint64_t token = 0;
    DurableUpdate update;
};
enum class WriteOutcome {
    committed,
    unavailable,  // rejected or unknown: the batch may still be committed
};
struct WriteDone {
    std::uint64_t token = 0;
    WriteOutcome outcome = WriteOutcome::unavailable;
};
struct ReadDone {
    std::uint64_t token = 0;
    bool ok = false;
};
/// This batch was committed.
struct Committed {
    Batch batch;
};
/// The committed table advanced by more than one batch; see committedTable().
struct TableReplaced {
    Position position;
};
/// Requests handle(Tick) at or soon after this time; replaces the previous timer.
struct SetTimer {
    Millis at = 0;
};
struct ViewChanged {
    View view;
};
struct Log {
    std::string text;
};
using Action =
    std::variant<Send, Persist, WriteDone, ReadDone, Committed, TableReplaced, SetTimer, ViewChanged, Log>;

}  // namespace beechpoint::replica
