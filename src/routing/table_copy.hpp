/// The gateway's copy of the replicated table, as its routing table. Its position only rises: an update that is not newer is
/// ignored, whichever member it came from. Not thread-safe; the snapshots that it gives are.
#pragma once

#include <cstdint>
#include <memory>

#include "core/replicated_table.hpp"
#include "routing/routing_table.hpp"

namespace beechpoint::routing {

class TableCopy {
public:
    TableCopy();

    /// Whether the copy changed. A delta must have been asked for with position() or an older position of this copy.
    bool apply(const TableUpdate& update);

    /// Never null; empty at position {0, 0} before the first update.
    [[nodiscard]] const std::shared_ptr<const RoutingTable>& current() const { return current_; }
    [[nodiscard]] Position position() const { return current_->position(); }
    /// Whether a configuration has come yet.
    [[nodiscard]] bool configured() const { return current_->revision() != 0; }
    [[nodiscard]] std::uint64_t ignoredUpdates() const { return ignoredUpdates_; }

private:
    std::shared_ptr<const RoutingTable> current_;
    std::uint64_t ignoredUpdates_ = 0;
};

}  // namespace beechpoint::routing
