/// Cache of packed updates of the replicated table, since many gateways request updates from the same position.
///
/// Free of I/O. Owned by PollResponder.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/committed_table_source.hpp"

namespace beechpoint::control {

/// Whether gateways need the change; duty intents are used by control members only.
[[nodiscard]] bool isForGateways(const Change& change);

class PackedTableUpdates {
public:
    /// What gateways need of the update from `base` to the committed position, packed (table_packing.hpp). Nothing: the table is not fresh.
    [[nodiscard]] std::optional<std::string> since(const CommittedTableSource& table, Position base);

private:
    Position committed_;                      // position that the updates lead to
    std::map<Position, std::string> packed_;  // by base
};

}  // namespace beechpoint::control
