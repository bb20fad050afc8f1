/// The HTTP answers to operators' calls, as values. Free of I/O and state; may be called from any thread.
#pragma once

#include <cstdint>
#include <string>

#include "control/operator_calls.hpp"
#include "core/replicated_table.hpp"
#include "core/result.hpp"

namespace beechpoint::control {

/// 200 to a read: the configuration that `table` holds.
[[nodiscard]] Answer configurationAnswer(CallId id, const Table& table);
/// 200 to a write: it is committed, as `revision` of the configuration.
[[nodiscard]] Answer appliedAnswer(CallId id, std::uint64_t revision);
/// 4xx with `error` as the body.
[[nodiscard]] Answer errorAnswer(CallId id, const Error& error);
/// 503 with Retry-After. The same call may safely be retried, here or at another member. `reason`: text of the body.
[[nodiscard]] Answer unavailableAnswer(CallId id, const std::string& reason);
/// 307 to the same target at `controlAddress` (IP:PORT), the member that answers such calls.
[[nodiscard]] Answer redirectAnswer(CallId id, const std::string& controlAddress, const std::string& target);

}  // namespace beechpoint::control
