/// Updates of the replicated table in packed form, each made once: many gateways ask from the same position.
///
/// Free of I/O. Owned by PollResponder.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/committed_table_source.hpp"

namespace beechpoint::control {

/// Whether gateways need the change: the duties' intents are the members' own.
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
