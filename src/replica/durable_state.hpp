/// The persistent state of a replica and the atomic updates that it requests from its storage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/replicated_table.hpp"
#include "replica/view.hpp"

namespace beechpoint::replica {

/// Small record that is always written as a whole.
struct ControlRecord {
    std::uint64_t incarnation = 0;  // 0: empty disk
    std::vector<std::string>
        founders;  // control addresses, sorted; if not empty, this process may vote on the first view
    View view;     // newest view known to be decided
    Vote vote;
    bool operator==(const ControlRecord&) const = default;
};

/// Loaded at startup. A store that fails its integrity check is treated as an empty disk, and the process must then not
/// bootstrap.
struct DurableState {
    ControlRecord control;
    std::uint64_t syncedEpoch = 0;  // newest epoch whose starting state this disk holds
    Table table;
    Position position;             // of `table`
    std::optional<Batch> pending;  // follows `position`; not known to be committed
};

/// One atomic update, applied in the order of the fields. Updates take effect in the order in which they were issued.
/// An update reported as failed may have taken effect, but must not take effect later.
struct DurableUpdate {
    std::optional<TableUpdate> table;  // changes (idempotent: they may be applied already) or the full table
    bool clearPending = false;
    std::optional<Batch> pending;
    std::optional<std::uint64_t> syncedEpoch;
    std::optional<ControlRecord> control;
    bool force =
        true;  // report only once it survives a power loss; otherwise it may be lost unless a forced update follows
};

void apply(const TableUpdate& update, Table& table);
void apply(const DurableUpdate& update, DurableState& state);

}  // namespace beechpoint::replica
