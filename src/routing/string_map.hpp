/// A hash map with string keys and lookup by string_view without a copy.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace beechpoint::routing {

struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

template <class Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/// The entry of this name; nullptr: none.
template <class Entry>
[[nodiscard]] std::shared_ptr<const Entry> findEntry(const StringMap<std::shared_ptr<const Entry>>& entries,
                                                     std::string_view name) {
    const auto found = entries.find(name);
    return found == entries.end() ? nullptr : found->second;
}

}  // namespace beechpoint::routing
