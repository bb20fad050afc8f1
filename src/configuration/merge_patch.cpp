#include "configuration/merge_patch.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "configuration/host_name.hpp"
#include "configuration/item_checks.hpp"
#include "configuration/json_text.hpp"
#include "configuration/ordering.hpp"
#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

std::optional<Route> storedRoute(const Table& table, const std::string& name) {
    const auto found = table.find(joinedKey(kRoutePrefix, name));
    if (found == table.end()) return std::nullopt;
    const auto stored = parseStoredItem(found->second);
    if (!stored) return std::nullopt;
    Result<Route> route = parseRoute(stored->json);
    if (!route) return std::nullopt;
    return std::move(route.value());
}

// Whether the text after `"path_prefix":` is among the quoted prefixes, anywhere in a stored route.
bool mentionsPrefix(std::string_view json, const std::unordered_set<std::string>& quotedPrefixes) {
    constexpr std::string_view kMember = "\"path_prefix\":\"";
    std::size_t at = json.find(kMember);
    for (; at != std::string_view::npos; at = json.find(kMember, at + kMember.size())) {
        const std::size_t begin = at + kMember.size() - 1;
        std::size_t end = begin + 1;
        while (end < json.size() && json[end] != '"') end += json[end] == '\\' ? 2 : 1;
        if (quotedPrefixes.contains(std::string{json.substr(begin, end + 1 - begin)})) return true;
    }
    return false;
}

// The rules between the changed items and those that stay.
class PartialCheck {
public:
    PartialCheck(const Table& table, Document& document)
        : table_(table),
          document_(document),
          upsertedRoutes_(namesOf(document.items.routes, document.faults)),
          upsertedServices_(namesOf(document.items.services, document.faults)),
          removedRoutes_(document.removedRoutes.begin(), document.removedRoutes.end()),
          removedServices_(document.removedServices.begin(), document.removedServices.end()) {}

    void run() {
        for (const Item<Route>& item : document_.items.routes) checkUpserted(item);
        for (const std::string& name : document_.removedServices)
            if (!upsertedServices_.contains(name)) lostServices_.push_back(quotedJson(name));
        if (lostServices_.empty() && quotedPrefixes_.empty()) return;
        eachWithPrefix(table_, kRoutePrefix, [this](std::string_view name, std::string_view value) {
            const auto stored = parseStoredItem(value);
            if (stored && stays(name) && concerned(stored->json)) checkStaying(stored->json);
        });
    }

private:
    void checkUpserted(const Item<Route>& item) {
        checkServices(
            item, [this](const std::string& name) { return isService(name); }, document_.faults);
        if (const std::string* other = places_.claim(item.value))
            addSharedPlace(item, *other, document_.faults);
        const std::optional<Route> before = storedRoute(table_, item.value.name);
        const bool samePlace = before && before->pathPrefix == item.value.pathPrefix &&
                               comparableHost(before->hostname) == comparableHost(item.value.hostname);
        if (!samePlace) quotedPrefixes_.insert(quotedJson(item.value.pathPrefix));
    }

    bool isService(const std::string& name) const {
        if (upsertedServices_.contains(name)) return true;
        return !removedServices_.contains(name) && table_.contains(joinedKey(kServicePrefix, name));
    }

    bool stays(std::string_view name) const {
        return !upsertedRoutes_.contains(name) && !removedRoutes_.contains(name);
    }

    bool concerned(std::string_view json) const {
        const auto named = [json](const std::string& service) { return json.find(service) != json.npos; };
        return std::any_of(lostServices_.begin(), lostServices_.end(), named) ||
               (!quotedPrefixes_.empty() && mentionsPrefix(json, quotedPrefixes_));
    }

    void checkStaying(std::string_view json) {
        const Result<Route> route = parseRoute(json);
        if (!route) return;
        for (const WeightedBackend& part : route.value().trafficSplit)
            checkStillThere(part.backend, route.value());
        if (!route.value().backend.empty()) checkStillThere(route.value().backend, route.value());
        const std::string* other = places_.claim(route.value());
        if (!other) return;
        for (const Item<Route>& item : document_.items.routes)
            if (item.value.name == *other) addSharedPlace(item, route.value().name, document_.faults);
    }

    void checkStillThere(const std::string& service, const Route& route) {
        if (isService(service)) return;
        document_.faults.push_back({ErrorKind::invalid, "/remove/services",
                                    fmt::format("route \"{}\" names service \"{}\"", route.name, service),
                                    "remove or change the route in the same call"});
    }

    const Table& table_;
    Document& document_;
    NameSet upsertedRoutes_;
    NameSet upsertedServices_;
    NameSet removedRoutes_;
    NameSet removedServices_;
    RoutePlaces places_;
    std::vector<std::string> lostServices_;           // as JSON texts
    std::unordered_set<std::string> quotedPrefixes_;  // of routes that are new at their place, as JSON texts
};

std::uint64_t highestOrder(const Table& table, std::string_view prefix) {
    std::uint64_t highest = 0;
    eachWithPrefix(table, prefix, [&highest](std::string_view, std::string_view value) {
        if (const auto stored = parseStoredItem(value)) highest = std::max(highest, stored->order);
    });
    return highest;
}

// Replaced items keep their place in the list, new ones come behind the last.
template <class Value>
void changeList(const Table& table, std::string_view prefix, const std::vector<Item<Value>>& items,
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

std::string_view nameOf(const Json& item) {
    const Json* const name = item.IsObject() ? memberOf(item, "name") : nullptr;
    return name && name->IsString() ? textOf(*name) : std::string_view{};
}

// A member that is not known here, while it is changed.
class OtherMemberChange {
public:
    OtherMemberChange(const Table& table, const std::string& name) {
        const auto found = table.find(joinedKey(kMemberPrefix, name));
        if (found == table.end() || parseJson(found->second, value_)) value_.SetArray();
    }

    void remove(const std::vector<std::string>& names) {
        if (!value_.IsArray()) return;
        for (auto item = value_.Begin(); item != value_.End();) {
            const bool gone = std::find(names.begin(), names.end(), nameOf(*item)) != names.end();
            item = gone ? value_.Erase(item) : item + 1;
        }
    }

    // Lists are changed by name, as the known ones; other values are replaced.
    void upsert(const std::string& json) {
        JsonDocument sent{&value_.GetAllocator()};
        if (parseJson(json, sent)) return;
        if (!value_.IsArray() || !sent.IsArray()) {
            static_cast<Json&>(value_) = static_cast<Json&>(sent);
            return;
        }
        for (Json& item : sent.GetArray()) placeOf(item) = item;
    }

    std::string text() const { return compactJson(value_); }

private:
    // Where an item goes: the one of its name, or a new place behind the last.
    Json& placeOf(const Json& item) {
        const std::string_view name = nameOf(item);
        for (Json& present : value_.GetArray())
            if (!name.empty() && nameOf(present) == name) return present;
        value_.PushBack(Json{}, value_.GetAllocator());
        return value_[value_.Size() - 1];
    }

    JsonDocument value_;
};

void changeOthers(const Table& table, const Document& document, std::vector<Change>& changes) {
    std::map<std::string, OtherMemberChange> changed;
    const auto change = [&](const std::string& name) -> OtherMemberChange& {
        return changed.try_emplace(name, table, name).first->second;
    };
    for (const OtherRemoval& removal : document.removedOthers) change(removal.list).remove(removal.names);
    for (const OtherMember& other : document.items.others) change(other.name).upsert(other.json);
    for (const auto& [name, member] : changed)
        changes.push_back({joinedKey(kMemberPrefix, name), member.text()});
}

}  // namespace

std::vector<Change> partialChange(const Table& table, Document& document) {
    std::vector<Change> changes;
    PartialCheck{table, document}.run();
    if (!document.faults.empty()) return changes;
    changeList(table, kServicePrefix, document.items.services, document.removedServices, changes);
    changeList(table, kRoutePrefix, document.items.routes, document.removedRoutes, changes);
    if (document.items.limits) changes.push_back({std::string{kLimitsKey}, *document.items.limits});
    changeOthers(table, document, changes);
    return changes;
}

}  // namespace beechpoint::configuration
