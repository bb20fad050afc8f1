#include "operator_client/configuration_difference.hpp"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace beechpoint::operator_client {
namespace {

using Json = nlohmann::json;
using Items = std::map<std::string, Json>;

constexpr const char* kRevision = "revision";
constexpr const char* kTenants = "tenants";
constexpr const char* kApiKeys = "api_keys";
constexpr std::size_t kMaxValueText = 60;  // of a member's value in a line

std::string_view nameOf(DifferenceKind kind) {
    switch (kind) {
        case DifferenceKind::added:
            return "added";
        case DifferenceKind::changed:
            return "changed";
        case DifferenceKind::removed:
            return "removed";
    }
    return "changed";
}

Result<Json> parse(std::string_view text, const char* what) {
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return Error{ErrorKind::invalid, what, "is no JSON object", "give a whole configuration"};
    return json;
}

bool isNamedList(const Json& value) {
    return value.is_array() && !value.empty() && value.front().is_object() && value.front().contains("name");
}

Result<Items> itemsOf(const Json& list, const std::string& listName) {
    Items items;
    if (!list.is_array()) return items;
    for (const Json& item : list) {
        const auto name = item.is_object() ? item.find("name") : item.end();
        if (name == item.end() || !name->is_string())
            return Error{ErrorKind::invalid, "/" + listName, "an item has no name", "give each item a name"};
        items[name->get<std::string>()] = item;
    }
    return items;
}

// API keys are secrets: a terminal and its records show how many there are, never what they are.
std::string hiddenText(const Json& value) {
    return value.is_array() ? fmt::format("{} not shown", value.size()) : "not shown";
}

Json withoutApiKeys(Json value) {
    if (!value.is_structured()) return value;
    for (auto member = value.begin(); member != value.end(); ++member) {
        const bool secret = value.is_object() && member.key() == kApiKeys;
        *member = secret ? Json(hiddenText(*member)) : withoutApiKeys(std::move(*member));
    }
    return value;
}

std::string shortText(const Json& value) {
    std::string text = withoutApiKeys(value).dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > kMaxValueText) text = text.substr(0, kMaxValueText) + "...";
    return text;
}

std::set<std::string> keysOf(const Json& one, const Json& other) {
    std::set<std::string> keys;
    for (const Json* object : {&one, &other})
        for (const auto& [key, value] : object->items()) keys.insert(key);
    return keys;
}

std::string memberText(const Json& object, const std::string& key) {
    if (!object.contains(key)) return "none";
    return key == kApiKeys ? hiddenText(object.at(key)) : shortText(object.at(key));
}

std::vector<std::string> changedMembers(const Json& before, const Json& after) {
    std::vector<std::string> members;
    if (!before.is_object() || !after.is_object())
        return {fmt::format("{} -> {}", shortText(before), shortText(after))};
    for (const std::string& key : keysOf(before, after)) {
        if (before.contains(key) && after.contains(key) && before.at(key) == after.at(key)) continue;
        members.push_back(fmt::format("{}: {} -> {}", key, memberText(before, key), memberText(after, key)));
    }
    return members;
}

// Null stands for what is not there.
void compare(const std::string& list, const std::string& name, const Json* before, const Json* after,
             std::vector<ItemDifference>& out) {
    if (!before)
        out.push_back({DifferenceKind::added, list, name, {}});
    else if (!after)
        out.push_back({DifferenceKind::removed, list, name, {}});
    else if (*before != *after)
        out.push_back({DifferenceKind::changed, list, name, changedMembers(*before, *after)});
}

void compareItems(const std::string& list, const Items& before, const Items& after,
                  std::vector<ItemDifference>& out) {
    std::set<std::string> names;
    for (const Items* items : {&before, &after})
        for (const auto& [name, item] : *items) names.insert(name);
    for (const std::string& name : names) {
        const auto earlier = before.find(name);
        const auto later = after.find(name);
        compare(list, name, earlier == before.end() ? nullptr : &earlier->second,
                later == after.end() ? nullptr : &later->second, out);
    }
}

const Json* memberOf(const Json& object, const std::string& key) {
    const auto found = object.find(key);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

bool isNamedList(const Json* value) { return value && isNamedList(*value); }
bool isEmpty(const Json* value) { return !value || value->empty(); }

// Null stands for what is not there.
void compareMember(const std::string& key, const Json* before, const Json* after,
                   std::vector<ItemDifference>& out) {
    if (isEmpty(before) && isEmpty(after)) return;
    const std::size_t known = out.size();
    compare({}, key, before, after, out);
    // What is no list of tenants is not valid, so that keys may be anywhere in it.
    if (key == kTenants && out.size() > known) out.back().members.clear();
}

// The error of the first list that can't be read, if any.
std::optional<Error> compareLists(const std::string& key, const Json* before, const Json* after,
                                  std::vector<ItemDifference>& out) {
    const auto itemsBefore = itemsOf(before ? *before : Json::array(), key);
    if (!itemsBefore) return itemsBefore.error();
    const auto itemsAfter = itemsOf(after ? *after : Json::array(), key);
    if (!itemsAfter) return itemsAfter.error();
    compareItems(key, itemsBefore.value(), itemsAfter.value(), out);
    return std::nullopt;
}

}  // namespace

Result<std::vector<ItemDifference>> difference(std::string_view current, std::string_view proposed) {
    const auto before = parse(current, "current configuration");
    if (!before) return before.error();
    const auto after = parse(proposed, "proposed configuration");
    if (!after) return after.error();
    std::vector<ItemDifference> differences;
    for (const std::string& key : keysOf(before.value(), after.value())) {
        if (key == kRevision) continue;
        const Json* const earlier = memberOf(before.value(), key);
        const Json* const later = memberOf(after.value(), key);
        if (!isNamedList(earlier) && !isNamedList(later)) {
            compareMember(key, earlier, later, differences);
            continue;
        }
        const auto error = compareLists(key, earlier, later, differences);
        if (error) return *error;
    }
    return differences;
}

std::string renderDifferences(const std::vector<ItemDifference>& differences) {
    if (differences.empty()) return "no difference\n";
    std::string out;
    for (const ItemDifference& item : differences) {
        out += fmt::format("{:<8} {}{}{}\n", nameOf(item.kind), item.list, item.list.empty() ? "" : "/",
                           item.name);
        for (const std::string& member : item.members) out += fmt::format("           {}\n", member);
    }
    return out;
}

std::string renderDifferencesJson(const std::vector<ItemDifference>& differences) {
    Json out = Json::array();
    for (const ItemDifference& item : differences)
        out.push_back(Json{{"kind", nameOf(item.kind)},
                           {"list", item.list},
                           {"name", item.name},
                           {"members", item.members}});
    return out.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace beechpoint::operator_client
