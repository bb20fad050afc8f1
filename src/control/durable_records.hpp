/// Between the replica's durable state (replica/durable_state.hpp) and the store's records (storage/store.hpp). Pure functions, free of
/// I/O; may be called from any thread. The bytes of the records are replica_codec.hpp's.
#pragma once

#include "core/result.hpp"
#include "replica/durable_state.hpp"
#include "storage/store.hpp"

namespace beechpoint::control {

/// What a store held, as the replica takes it at its start. Error (storage): a record can't be read.
[[nodiscard]] Result<replica::DurableState> durableState(storage::Contents contents);

/// What the store has to write so that `update` is durable.
[[nodiscard]] storage::Update storeUpdate(const replica::DurableUpdate& update);

}  // namespace beechpoint::control
