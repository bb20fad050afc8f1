/// What a replica keeps on disk, and the atomic changes that it asks its storage for.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/replicated_table.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

/// Small record that is always written in full.
struct ControlRecord {
    std::uint64_t incarnation = 0;      // 0: empty disk
    std::vector<std::string> founders;  // control addresses, sorted; not empty: may vote on the first view
    View view;                          // newest view known to be decided
    Vote vote;
    bool operator==(const ControlRecord&) const = default;
};

/// Loaded at start. A store that does not check counts as an empty disk, and then the process must not bootstrap.
struct DurableState {
    ControlRecord control;
    std::uint64_t syncedEpoch = 0;  // newest epoch whose starting state this disk was brought to
    Table table;
    Position position;             // of `table`
    std::optional<Batch> pending;  // follows `position`; not known to be committed
};

/// One atomic change, carried out in the order of the fields. Updates take effect in the order in which they were issued.
/// One that was reported as failed may have taken effect, but must not do so later.
struct DurableUpdate {
    std::optional<TableUpdate> table;  // changes (idempotent: they may be applied already) or the full table
    bool clearPending = false;
    std::optional<Batch> pending;
    std::optional<std::uint64_t> syncedEpoch;
    std::optional<ControlRecord> control;
    bool force =
        true;  // report only once it is safe from a loss of power; else it may be lost if none follows
};

void apply(const TableUpdate& update, Table& table);
void apply(const DurableUpdate& update, DurableState& state);

}  // namespace beechpoint::replica
