/// What a proposed configuration would change: items by list and name, members outside of lists by name alone. Pure functions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/result.hpp"

namespace beechpoint::operator_client {

enum class DifferenceKind { added, changed, removed };

struct ItemDifference {
    DifferenceKind kind = DifferenceKind::changed;
    std::string list;                  ///< "routes", "services"; empty: a member outside of lists
    std::string name;                  ///< of the item or the member
    std::vector<std::string> members;  ///< of a changed item: those that differ, as `timeout_ms: 500 -> 800`
    bool operator==(const ItemDifference&) const = default;
};

/// Both are complete configurations as JSON text; the revision is left out, and so is the order of items. API keys are not
/// in the result, only their number. Error (invalid): one of
/// them is no JSON object, or an item of a list has no name.
[[nodiscard]] Result<std::vector<ItemDifference>> difference(std::string_view current,
                                                             std::string_view proposed);

/// One line for each item, with those of its members indented below.
[[nodiscard]] std::string renderDifferences(const std::vector<ItemDifference>& differences);
/// A JSON array with kind, list, name and members of each item.
[[nodiscard]] std::string renderDifferencesJson(const std::vector<ItemDifference>& differences);

}  // namespace beechpoint::operator_client
