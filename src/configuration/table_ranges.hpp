/// Walks over the keys of the replicated table that share a prefix.
#pragma once

#include <string>
#include <string_view>

#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

[[nodiscard]] inline std::string joinedKey(std::string_view prefix, std::string_view name) {
    std::string key{prefix};
    key += name;
    return key;
}

/// Calls visit(name, value) for each key with the prefix, in order, where `name` is the key without the prefix. Both are views into
/// the table.
template <class Visitor>
void eachWithPrefix(const Table& table, std::string_view prefix, const Visitor& visit) {
    for (auto entry = table.lower_bound(std::string{prefix}); entry != table.end(); ++entry) {
        const std::string_view key = entry->first;
        if (!key.starts_with(prefix)) return;
        visit(key.substr(prefix.size()), std::string_view{entry->second});
    }
}

}  // namespace beechpoint::configuration
