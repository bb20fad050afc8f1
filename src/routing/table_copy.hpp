/// The gateway's copy of the replicated table, as a routing table. Its position only increases: an update
/// that is not newer is ignored, whichever member sent it. Not thread-safe, but its snapshots are.
#pragma once

#include <cstdint>
#include <memory>

#include "core/replicated_table.hpp"
#include "routing/routing_table.hpp"

namespace beechpoint::routing {

class TableCopy {
public:
    TableCopy();

    /// Returns whether the copy changed. A delta must start at position() or an earlier position of this
    /// copy.
    bool apply(const TableUpdate& update);

    /// Never null; an empty table at position {0, 0} before the first update.
    [[nodiscard]] const std::shared_ptr<const RoutingTable>& current() const { return current_; }
    [[nodiscard]] Position position() const { return current_->position(); }
    /// Whether a configuration has been received.
    [[nodiscard]] bool configured() const { return current_->revision() != 0; }
    [[nodiscard]] std::uint64_t ignoredUpdates() const { return ignoredUpdates_; }

private:
    std::shared_ptr<const RoutingTable> current_;
    std::uint64_t ignoredUpdates_ = 0;
};

}  // namespace beechpoint::routing
