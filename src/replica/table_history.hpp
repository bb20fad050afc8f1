// The table with the recent batches that led to it, bounded in number and bytes. Snapshots are immutable: a change makes
// a new one if the old one is in use.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "core/replicated_table.hpp"

namespace beechpoint::replica {

class TableHistory {
public:
    TableHistory(Table table, Position position);

    void fold(const Batch& batch);
    void bring(const TableUpdate& update);

    const Table& table() const { return *table_; }
    std::shared_ptr<const Table> snapshot() const { return table_; }
    Position position() const { return position_; }

    // From `since` to the present position: the keys that changed, or the whole table if `since` is not in the history.
    TableUpdate updateSince(Position since) const;
    TableUpdate whole() const;
    // Of the batches since that position; nothing if it is not in the history.
    std::optional<std::size_t> bytesSince(Position since) const;
    std::size_t batches() const { return batches_.size(); }

private:
    Table& writable();
    void remember(Batch batch);

    std::shared_ptr<Table> table_;
    Position position_;
    Position base_;  // of the state before the first batch kept
    std::deque<Batch> batches_;
    std::size_t bytes_ = 0;
};

}  // namespace beechpoint::replica
