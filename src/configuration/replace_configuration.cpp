#include "configuration/replace_configuration.hpp"

#include "configuration/item_checks.hpp"
#include "configuration/ordering.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"
#include "configuration/tenant_checks.hpp"

namespace beechpoint::configuration {
namespace {

void checkItems(Document& document) {
    std::vector<Error>& faults = document.faults;
    const NameSet services = namesOf(document.items.services, faults);
    namesOf(document.items.routes, faults);
    RouteMatches matches;
    const auto isService = [&services](std::string_view name) { return services.contains(name); };
    for (const Item<Route>& item : document.items.routes) {
        checkServices(item, isService, faults);
        if (const std::string* other = matches.claim(item.value)) addSharedMatch(item, *other, faults);
    }
    for (const OtherMember& member : document.items.others)
        if (member.name == kTenantsMember) checkTenants(member.json, "/tenants", faults);
}

void setIfDifferent(const Table& table, std::string key, std::string value, std::vector<Change>& changes) {
    const auto found = table.find(key);
    if (found == table.end() || found->second != value) changes.push_back({std::move(key), std::move(value)});
}

template <class Value>
void replaceList(const Table& table, std::string_view prefix, const std::vector<Item<Value>>& items,
                 std::vector<Change>& changes) {
    std::unordered_map<std::string_view, std::uint64_t> presentOrders;
    eachWithPrefix(table, prefix, [&](std::string_view name, std::string_view value) {
        if (const auto stored = parseStoredItem(value)) presentOrders.emplace(name, stored->order);
    });
    std::vector<std::optional<std::uint64_t>> before;
    NameSet names;
    for (const Item<Value>& item : items) {
        const auto found = presentOrders.find(item.value.name);
        before.push_back(found == presentOrders.end() ? std::nullopt : std::optional{found->second});
        names.insert(item.value.name);
    }
    eachWithPrefix(table, prefix, [&](std::string_view name, std::string_view) {
        if (!names.contains(name)) changes.push_back({joinedKey(prefix, name), std::nullopt});
    });
    const std::vector<std::uint64_t> orders = assignOrders(before);
    for (std::size_t index = 0; index < items.size(); ++index)
        setIfDifferent(table, joinedKey(prefix, items[index].value.name),
                       formatStoredItem(orders[index], items[index].json), changes);
}

void replaceLimits(const Table& table, const std::optional<std::string>& limits,
                   std::vector<Change>& changes) {
    const std::string key{kLimitsKey};
    if (limits)
        setIfDifferent(table, key, *limits, changes);
    else if (table.contains(key))
        changes.push_back({key, std::nullopt});
}

void replaceOthers(const Table& table, const std::vector<OtherMember>& others, std::vector<Change>& changes) {
    NameSet names;
    for (const OtherMember& other : others) {
        names.insert(other.name);
        setIfDifferent(table, joinedKey(kMemberPrefix, other.name), other.json, changes);
    }
    eachWithPrefix(table, kMemberPrefix, [&](std::string_view name, std::string_view) {
        if (!names.contains(name)) changes.push_back({joinedKey(kMemberPrefix, name), std::nullopt});
    });
}

}  // namespace

std::vector<Change> replaceConfiguration(const Table& table, Document& document) {
    std::vector<Change> changes;
    checkItems(document);
    if (!document.faults.empty()) return changes;
    replaceList(table, kServicePrefix, document.items.services, changes);
    replaceList(table, kRoutePrefix, document.items.routes, changes);
    replaceLimits(table, document.items.limits, changes);
    replaceOthers(table, document.items.others, changes);
    return changes;
}

}  // namespace beechpoint::configuration
