#include "operator_client/configuration_difference.hpp"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace beechpoint::operator_client {
namespace {

using Json = nlohmann::json;
using Items = std::map<std::string, Json>;

constexpr const char* kRevision = "revision";
constexpr std::size_t kMostValueText = 60;  // of a member's value in a line

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

Result<Items> itemsOf(const Json& list, const std::string& place) {
    Items items;
    if (!list.is_array()) return items;
    for (const Json& item : list) {
        const auto name = item.is_object() ? item.find("name") : item.end();
        if (name == item.end() || !name->is_string())
            return Error{ErrorKind::invalid, "/" + place, "an item has no name", "give each item a name"};
        items[name->get<std::string>()] = item;
    }
    return items;
}

std::string shortText(const Json& value) {
    std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > kMostValueText) text = text.substr(0, kMostValueText) + "...";
    return text;
}

std::set<std::string> keysOf(const Json& one, const Json& other) {
    std::set<std::string> keys;
    for (const Json* object : {&one, &other})
        for (const auto& [key, value] : object->items()) keys.insert(key);
    return keys;
}

std::string memberText(const Json& object, const std::string& key) {
    return object.contains(key) ? shortText(object.at(key)) : "none";
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

}  // namespace

Result<std::vector<ItemDifference>> difference(std::string_view current, std::string_view proposed) {
    const auto before = parse(current, "current configuration");
    if (!before) return before.error();
    const auto after = parse(proposed, "proposed configuration");
    if (!after) return after.error();
    std::vector<ItemDifference> differences;
    for (const std::string& key : keysOf(before.value(), after.value())) {
        if (key == kRevision) continue;
        const Json* earlier = memberOf(before.value(), key);
        const Json* later = memberOf(after.value(), key);
        if (!(earlier && isNamedList(*earlier)) && !(later && isNamedList(*later))) {
            const bool bothEmpty = (!earlier || earlier->empty()) && (!later || later->empty());
            if (!bothEmpty) compare({}, key, earlier, later, differences);
            continue;
        }
        const auto itemsBefore = itemsOf(earlier ? *earlier : Json::array(), key);
        if (!itemsBefore) return itemsBefore.error();
        const auto itemsAfter = itemsOf(later ? *later : Json::array(), key);
        if (!itemsAfter) return itemsAfter.error();
        compareItems(key, itemsBefore.value(), itemsAfter.value(), differences);
    }
    return differences;
}

std::string renderDifferences(const std::vector<ItemDifference>& differences) {
    if (differences.empty()) return "no difference\n";
    std::string out;
    for (const ItemDifference& one : differences) {
        out +=
            fmt::format("{:<8} {}{}{}\n", nameOf(one.kind), one.list, one.list.empty() ? "" : "/", one.name);
        for (const std::string& member : one.members) out += fmt::format("           {}\n", member);
    }
    return out;
}

std::string renderDifferencesJson(const std::vector<ItemDifference>& differences) {
    Json out = Json::array();
    for (const ItemDifference& one : differences)
        out.push_back(Json{
            {"kind", nameOf(one.kind)}, {"list", one.list}, {"name", one.name}, {"members", one.members}});
    return out.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace beechpoint::operator_client
