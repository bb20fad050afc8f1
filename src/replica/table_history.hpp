/// The table with its most recent batches, bounded in number (kMaxHistoryBatches) and bytes (kMaxHistoryBytes).
///
/// Snapshots are immutable and may be read from any thread: a change copies the table first if a snapshot of it is in use.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {

class TableHistory {
public:
    TableHistory(Table table, Position position);

    void applyBatch(const Batch& batch);
    /// A delta is recorded as one batch; a full update replaces the table and its history.
    void applyUpdate(const TableUpdate& update);

    const Table& table() const { return *table_; }
    std::shared_ptr<const Table> snapshot() const { return table_; }
    Position position() const { return position_; }

    /// Update from `since` to the current position: the changed keys, or the full table if `since` is not in the history.
    TableUpdate updateSince(Position since) const;
    TableUpdate fullUpdate() const;
    // Rows after `afterKey` (empty: from the first row), in key order, at least one and up to about `maxBytes`.
    // `reachesEnd`: they include the last row of the table.
    struct Rows {
        std::vector<Change> changes;
        bool reachesEnd = false;
    };
    Rows rowsAfter(const std::string& afterKey, std::size_t maxBytes) const;
    // Whether updateSince() returns the changes since that position rather than the full table.
    bool reachesBackTo(Position since) const { return bytesSince(since).has_value(); }
    // Size in bytes of all keys and values.
    std::size_t tableBytes() const;
    /// Size in bytes of the batches since that position; nullopt if it is not in the history.
    std::optional<std::size_t> bytesSince(Position since) const;
    std::size_t batches() const { return batches_.size(); }

private:
    Table& mutableTable();
    void record(Batch batch);

    std::shared_ptr<Table> table_;
    Position position_;
    Position base_;  // of the state before the first batch in the history
    std::deque<Batch> batches_;
    std::size_t bytes_ = 0;
};

}  // namespace beechpoint::replica
