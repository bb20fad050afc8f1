// Between what the replica asks to be kept and what the store keeps. Free of I/O.
#pragma once

#include "core/result.hpp"
#include "replica/durable_state.hpp"
#include "storage/store.hpp"

namespace beechpoint::control {

// What a store held, as the replica takes it at its start. Error (storage): a record that can't be read.
Result<replica::DurableState> durableState(storage::Contents contents);

storage::Update storeUpdate(const replica::DurableUpdate& update);

}  // namespace beechpoint::control
