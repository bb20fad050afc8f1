#include "replica/table_history.hpp"

#include <algorithm>
#include <ranges>
#include <set>
#include <string>
#include <utility>

#include "replica/durable_state.hpp"
#include "replica/settings.hpp"

namespace beechpoint::replica {

namespace {

std::size_t bytesOf(const Batch& batch) {
    std::size_t bytes = sizeof(Batch);
    for (const Change& change : batch.changes)
        bytes += sizeof(Change) + change.key.size() + (change.value ? change.value->size() : 0);
    return bytes;
}

}  // namespace

TableHistory::TableHistory(Table table, Position position)
    : table_(std::make_shared<Table>(std::move(table))), position_(position), base_(position) {}

void TableHistory::applyBatch(const Batch& batch) {
    beechpoint::apply(batch.changes, mutableTable());
    position_ = batch.position;
    record(batch);
}

void TableHistory::applyUpdate(const TableUpdate& update) {
    if (!update.whole) {
        applyBatch(Batch{update.position, update.changes});
        return;
    }
    auto table = std::make_shared<Table>();
    beechpoint::apply(update.changes, *table);
    table_ = std::move(table);
    position_ = base_ = update.position;
    batches_.clear();
    bytes_ = 0;
}

TableUpdate TableHistory::updateSince(Position since) const {
    if (since == position_) return {position_, false, {}};
    auto first = batches_.begin();
    if (since != base_) {
        first = std::ranges::find(batches_, since, &Batch::position);
        if (first != batches_.end()) ++first;
    }
    if (first == batches_.end()) return fullUpdate();
    TableUpdate update{position_, false, {}};
    std::set<std::string> keys;
    for (; first != batches_.end(); ++first)
        for (const Change& change : first->changes) keys.insert(change.key);
    for (const std::string& key : keys) {
        const auto entry = table_->find(key);
        update.changes.push_back({key, entry == table_->end() ? std::nullopt : std::optional(entry->second)});
    }
    return update;
}

std::optional<std::size_t> TableHistory::bytesSince(Position since) const {
    std::size_t bytes = 0;
    if (since == position_) return bytes;
    for (const Batch& batch : batches_ | std::views::reverse) {
        if (batch.position == since) return bytes;
        bytes += bytesOf(batch);
    }
    return since == base_ ? std::optional(bytes) : std::nullopt;
}

TableUpdate TableHistory::fullUpdate() const {
    TableUpdate update{position_, true, {}};
    for (const auto& [key, value] : *table_) update.changes.push_back({key, value});
    return update;
}

TableHistory::Rows TableHistory::rowsAfter(const std::string& afterKey, std::size_t maxBytes) const {
    Rows rows;
    std::size_t bytes = 0;
    auto entry = afterKey.empty() ? table_->begin() : table_->upper_bound(afterKey);
    while (entry != table_->end() && (rows.changes.empty() || bytes < maxBytes)) {
        bytes += entry->first.size() + entry->second.size();
        rows.changes.push_back({entry->first, entry->second});
        ++entry;
    }
    rows.reachesEnd = entry == table_->end();
    return rows;
}

std::size_t TableHistory::tableBytes() const {
    std::size_t bytes = 0;
    for (const auto& [key, value] : *table_) bytes += key.size() + value.size();
    return bytes;
}

Table& TableHistory::mutableTable() {
    if (table_.use_count() > 1) table_ = std::make_shared<Table>(*table_);
    return *table_;
}

void TableHistory::record(Batch batch) {
    bytes_ += bytesOf(batch);
    batches_.push_back(std::move(batch));
    while (!batches_.empty() && (batches_.size() > kMaxHistoryBatches || bytes_ > kMaxHistoryBytes)) {
        base_ = batches_.front().position;
        bytes_ -= bytesOf(batches_.front());
        batches_.pop_front();
    }
}

}  // namespace beechpoint::replica
