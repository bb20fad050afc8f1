#include "control/packed_table_updates.hpp"

#include <cstddef>
#include <utility>

#include "control_messages/table_packing.hpp"
#include "duties/intent.hpp"

namespace beechpoint::control {
namespace {

constexpr std::size_t kMaxPackedUpdates = 16;

}  // namespace

bool isForGateways(const Change& change) { return !change.key.starts_with(duties::kDutyPrefix); }

std::optional<std::string> PackedTableUpdates::since(const CommittedTableSource& table, Position base) {
    if (committed_ != table.committedPosition() || packed_.size() >= kMaxPackedUpdates) packed_.clear();
    committed_ = table.committedPosition();
    const auto known = packed_.find(base);
    if (known != packed_.end()) return known->second;
    auto update = table.updateSince(base);
    if (!update) return std::nullopt;
    std::erase_if(update->changes, [](const Change& change) { return !isForGateways(change); });
    std::string packed = packTable(*update);
    packed_[base] = packed;
    return packed;
}

}  // namespace beechpoint::control
