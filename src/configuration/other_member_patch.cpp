#include "configuration/other_member_patch.hpp"

#include <algorithm>

#include "configuration/stored_item.hpp"
#include "configuration/table_ranges.hpp"

namespace beechpoint::configuration {
namespace {

// Empty for an item without one.
std::string_view nameOf(const Json& item) {
    const Json* const name = item.IsObject() ? memberOf(item, "name") : nullptr;
    return name && name->IsString() ? textOf(*name) : std::string_view{};
}

}  // namespace

OtherMemberPatch::OtherMemberPatch(const Table& table, const std::string& name) {
    const auto found = table.find(joinedKey(kMemberPrefix, name));
    if (found == table.end() || parseJson(found->second, value_)) value_.SetArray();
}

void OtherMemberPatch::remove(const std::vector<std::string>& names) {
    if (!value_.IsArray()) return;
    for (auto item = value_.Begin(); item != value_.End();) {
        const bool isRemoved = std::find(names.begin(), names.end(), nameOf(*item)) != names.end();
        item = isRemoved ? value_.Erase(item) : item + 1;
    }
}

void OtherMemberPatch::upsert(const std::string& json) {
    JsonDocument sent{&value_.GetAllocator()};
    if (parseJson(json, sent)) return;
    if (!value_.IsArray() || !sent.IsArray()) {
        static_cast<Json&>(value_) = static_cast<Json&>(sent);
        return;
    }
    for (Json& item : sent.GetArray()) itemToReplace(item) = item;
}

// The present item of the same name, or a new one after the last.
Json& OtherMemberPatch::itemToReplace(const Json& item) {
    const std::string_view name = nameOf(item);
    for (Json& present : value_.GetArray())
        if (!name.empty() && nameOf(present) == name) return present;
    value_.PushBack(Json{}, value_.GetAllocator());
    return value_[value_.Size() - 1];
}

}  // namespace beechpoint::configuration
