/// A hash map by name that is searched by string_view without a copy of the name.
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

/// The entry of that name; null where there is none.
template <class Entry>
[[nodiscard]] std::shared_ptr<const Entry> findEntry(const StringMap<std::shared_ptr<const Entry>>& entries,
                                                     std::string_view name) {
    const auto found = entries.find(name);
    return found == entries.end() ? nullptr : found->second;
}

}  // namespace beechpoint::routing
