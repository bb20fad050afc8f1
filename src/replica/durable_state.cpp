#include "replica/durable_state.hpp"

namespace beechpoint::replica {

void apply(const TableUpdate& update, Table& table) {
    if (update.whole) table.clear();
    beechpoint::apply(update.changes, table);
}

void apply(const DurableUpdate& update, DurableState& state) {
    if (update.table) {
        apply(*update.table, state.table);
        state.position = update.table->position;
    }
    if (update.clearPending) state.pending.reset();
    if (update.pending) state.pending = update.pending;
    if (update.syncedEpoch) state.syncedEpoch = *update.syncedEpoch;
    if (update.control) state.control = *update.control;
}

}  // namespace beechpoint::replica
