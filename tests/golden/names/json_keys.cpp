#include "json_keys.hpp"

#include <fmt/format.h>

#include <set>

namespace beechpoint::golden {
namespace {

void collect(const Json& value, const std::string& path, std::set<std::string>& keys) {
    if (!path.empty()) keys.insert(fmt::format("{} {}", path, value.type_name()));
    if (value.is_array())
        for (const Json& entry : value) collect(entry, path + "[]", keys);
    if (value.is_object())
        for (const auto& [name, member] : value.items())
            collect(member, path.empty() ? name : path + "." + name, keys);
}

void collectPointers(const Json& value, const Json::json_pointer& at,
                     std::vector<Json::json_pointer>& found) {
    if (!at.empty()) found.push_back(at);
    if (value.is_array())
        for (std::size_t index = 0; index < value.size(); ++index)
            collectPointers(value[index], at / index, found);
    if (value.is_object())
        for (const auto& [name, member] : value.items()) collectPointers(member, at / name, found);
}

Json without(Json document, const Json::json_pointer& at) {
    Json& parent = document[at.parent_pointer()];
    if (parent.is_array())
        parent.erase(std::stoul(at.back()));
    else
        parent.erase(at.back());
    return document;
}

Json withOtherType(Json document, const Json::json_pointer& at) {
    Json& value = document[at];
    value = value.is_array() ? Json("text") : Json::array();
    return document;
}

// Texts of the JSON library depend on its version.
std::string outcome(const Reader& read, const Json& document) {
    const std::string refusal = read(document);
    if (refusal.empty()) return "taken";
    return refusal.starts_with("[json.exception") ? "refused" : onOneLine(refusal);
}

}  // namespace

Lines keysOf(const Json& document) {
    std::set<std::string> keys;
    collect(document, "", keys);
    return {keys.begin(), keys.end()};
}

Lines keysOf(const std::string& text) { return keysOf(Json::parse(text)); }

Lines keysReadBy(const Reader& read, const Json& document) {
    EXPECT_EQ(read(document), "");
    std::vector<Json::json_pointer> pointers;
    collectPointers(document, Json::json_pointer(), pointers);
    Lines lines;
    for (const Json::json_pointer& at : pointers)
        lines.push_back(fmt::format("{} {} | missing: {} | of another type: {}", at.to_string(),
                                    document[at].type_name(), outcome(read, without(document, at)),
                                    outcome(read, withOtherType(document, at))));
    return lines;
}

}  // namespace beechpoint::golden
