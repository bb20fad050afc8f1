#include "configuration/stored_item.hpp"

#include <charconv>

namespace beechpoint::configuration {

std::optional<StoredItem> parseStoredItem(std::string_view value) {
    StoredItem item;
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, item.order);
    if (error != std::errc{} || stop == end || *stop != ' ') return std::nullopt;
    item.json = value.substr(static_cast<std::size_t>(stop - value.data()) + 1);
    return item;
}

std::string formatStoredItem(std::uint64_t order, std::string_view json) {
    std::string value = std::to_string(order);
    value.reserve(value.size() + 1 + json.size());
    value += ' ';
    value += json;
    return value;
}

}  // namespace beechpoint::configuration
