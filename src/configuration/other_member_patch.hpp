/// A member of the configuration that this program does not know, while a PATCH changes it. A part of merge_patch.hpp.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration/json_text.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

class OtherMemberPatch {
public:
    /// Begins with the member's value in the table; an empty list when there is none.
    OtherMemberPatch(const Table& table, const std::string& name);

    /// Removes the items of these names, when the value is a list.
    void remove(const std::vector<std::string>& names);
    /// Lists are changed by name, as the known ones; any other value is replaced.
    void upsert(const std::string& json);

    /// The value as compact JSON.
    [[nodiscard]] std::string text() const { return compactJson(value_); }

private:
    Json& itemToReplace(const Json& item);

    JsonDocument value_;
};

}  // namespace beechpoint::configuration
