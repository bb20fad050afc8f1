#include "control/durable_records.hpp"

#include <utility>

#include "control/replica_codec.hpp"

namespace beechpoint::control {
namespace {

Table tableOf(const std::vector<Change>& changes) {
    Table table;
    apply(changes, table);
    return table;
}

Error unreadable(const char* record, const Error& cause) {
    return {ErrorKind::storage, record, cause.message,
            "the store counts as lost and is filled by the other members"};
}

}  // namespace

Result<replica::DurableState> durableState(storage::Contents contents) {
    replica::DurableState state;
    state.control.incarnation = contents.incarnation.value_or(0);
    if (contents.view) {
        auto view = decodeView(*contents.view);
        if (!view) return unreadable("view", view.error());
        state.control.founders = std::move(view.value().founders);
        state.control.view = std::move(view.value().view);
    }
    if (contents.vote) {
        auto vote = decodeVote(*contents.vote);
        if (!vote) return unreadable("vote", vote.error());
        state.control.vote = std::move(vote.value());
    }
    state.syncedEpoch = contents.syncedEpoch.value_or(0);
    state.table = std::move(contents.table);
    state.position = contents.position;
    state.pending = std::move(contents.pending);
    return state;
}

storage::Update storeUpdate(const replica::DurableUpdate& update) {
    storage::Update result;
    if (update.table && update.table->whole)
        result.snapshot = storage::Snapshot{update.table->position, tableOf(update.table->changes)};
    else if (update.table)
        result.fold = Batch{update.table->position, update.table->changes};
    result.clearPending = update.clearPending;
    result.pending = update.pending;
    result.syncedEpoch = update.syncedEpoch;
    if (update.control) {
        result.incarnation = update.control->incarnation;
        result.view = encodeView({update.control->founders, update.control->view});
        result.vote = encodeVote(update.control->vote);
    }
    result.forceSync = update.force;
    return result;
}

}  // namespace beechpoint::control
