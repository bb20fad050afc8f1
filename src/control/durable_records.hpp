/// Converts between the replica's durable state (replica/durable_state.hpp) and the store's records (storage/store.hpp). Pure functions
/// without I/O; may be called from any thread. Records are encoded by replica_codec.hpp.
#pragma once

#include "core/result.hpp"
#include "replica/durable_state.hpp"
#include "storage/store.hpp"

namespace beechpoint::control {

/// The replica's initial state from the store's contents. Error (storage): a record can't be decoded.
[[nodiscard]] Result<replica::DurableState> durableState(storage::Contents contents);

/// The store update that makes `update` durable.
[[nodiscard]] storage::Update storeUpdate(const replica::DurableUpdate& update);

}  // namespace beechpoint::control
