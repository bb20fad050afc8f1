#include "configuration/merge_patch.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_set>

#include "configuration/item_checks.hpp"
#include "configuration/ordering.hpp"
#include "configuration/other_member_patch.hpp"
#include "configuration/patch_check.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"
#include "configuration/tenant_checks.hpp"

namespace beechpoint::configuration {
namespace {

std::uint64_t highestOrder(const Table& table, std::string_view prefix) {
    std::uint64_t highest = 0;
    eachWithPrefix(table, prefix, [&highest](std::string_view, std::string_view value) {
        if (const auto stored = parseStoredItem(value)) highest = std::max(highest, stored->order);
    });
    return highest;
}

// Replaced items keep their order number in the list, new ones come after the last.
template <class Value>
void mergeList(const Table& table, std::string_view prefix, const std::vector<Item<Value>>& items,
               const std::vector<std::string>& removed, std::vector<Change>& changes) {
    NameSet upserted;
    std::optional<std::uint64_t> last;
    for (const Item<Value>& item : items) {
        upserted.insert(item.value.name);
        std::string key = joinedKey(prefix, item.value.name);
        const auto found = table.find(key);
        const auto stored = found == table.end() ? std::nullopt : parseStoredItem(found->second);
        if (stored && stored->json == item.json) continue;
        if (!stored) last = last.value_or(highestOrder(table, prefix)) + kOrderStep;
        const std::uint64_t order = stored ? stored->order : *last;
        changes.push_back({std::move(key), formatStoredItem(order, item.json)});
    }
    const std::unordered_set<std::string_view> dropped{removed.begin(), removed.end()};
    for (const std::string_view name : dropped) {
        std::string key = joinedKey(prefix, name);
        if (!upserted.contains(name) && table.contains(key))
            changes.push_back({std::move(key), std::nullopt});
    }
}

void mergeOthers(const Table& table, const Document& document, std::vector<Change>& changes) {
    std::map<std::string, OtherMemberPatch> changed;
    const auto memberOfName = [&](const std::string& name) -> OtherMemberPatch& {
        return changed.try_emplace(name, table, name).first->second;
    };
    for (const OtherRemoval& removal : document.removedOthers)
        memberOfName(removal.list).remove(removal.names);
    for (const OtherMember& other : document.items.others) memberOfName(other.name).upsert(other.json);
    for (const auto& [name, member] : changed)
        changes.push_back({joinedKey(kMemberPrefix, name), member.text()});
}

}  // namespace

std::vector<Change> mergePatch(const Table& table, Document& document) {
    std::vector<Change> changes;
    PatchCheck{table, document}.run();
    if (!document.faults.empty()) return changes;
    mergeList(table, kServicePrefix, document.items.services, document.removedServices, changes);
    mergeList(table, kRoutePrefix, document.items.routes, document.removedRoutes, changes);
    if (document.items.limits) changes.push_back({std::string{kLimitsKey}, *document.items.limits});
    mergeOthers(table, document, changes);
    checkChangedTenants(changes, document.items.others, document.faults);
    return changes;
}

}  // namespace beechpoint::configuration
