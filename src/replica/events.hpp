/// What goes into a replica and what comes out of it.
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
/// Changes computed from the head's committed table in the same call of the event loop.
struct ClientWrite {
    std::uint64_t token = 0;
    std::vector<Change> changes;
};
/// Answered by ReadDone: if ok, committedTable() then holds everything acknowledged before the call.
struct ReadBarrier {
    std::uint64_t token = 0;
};
/// What the driver knows of the disk beyond the answers to Persist.
struct DiskHealth {
    bool failing = false;
};
/// The settings were read again.
struct SeedsChanged {
    std::vector<std::string> seeds;  // control addresses
};
/// This process is to end. It stays a full member until a view without it holds its starting state; see Replica::hasLeft().
struct Leave {};
using Event = std::variant<MessageReceived, Persisted, PersistFailed, Tick, ClientWrite, ReadBarrier,
                           DiskHealth, SeedsChanged, Leave>;

struct Send {
    std::string address;  // internal address
    Message message;
};
/// To be carried out in order; answered by Persisted or PersistFailed, in order.
struct Persist {
    std::uint64_t token = 0;
    DurableUpdate update;
};
enum class WriteOutcome {
    committed,
    unavailable,  // refused, or not known: the batch may still be committed
};
struct WriteDone {
    std::uint64_t token = 0;
    WriteOutcome outcome = WriteOutcome::unavailable;
};
struct ReadDone {
    std::uint64_t token = 0;
    bool ok = false;
};
/// The committed table moved by this batch.
struct Committed {
    Batch batch;
};
/// The committed table moved by more than one batch; see committedTable().
struct TableReplaced {
    Position position;
};
/// Call handle(Tick) at this time, or soon after; replaces the earlier one.
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
