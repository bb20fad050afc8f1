/// JSON texts and their parsed form. RapidJSON, since the time to read a large configuration counts: a control member
/// answers no heartbeat meanwhile. Pure functions; to be called from any thread.
#pragma once

#include <rapidjson/document.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::configuration {

using Json = rapidjson::Value;
using JsonDocument = rapidjson::Document;

inline constexpr std::size_t kMaxNesting = 64;  ///< of objects and lists

struct JsonFault {
    std::size_t byte = 0;  ///< offset of the fault
    std::string message;
};

/// Strict JSON in valid UTF-8, one value and nothing after it, nested no deeper than kMaxNesting. The fault, if any.
[[nodiscard]] std::optional<JsonFault> parseJson(std::string_view text, JsonDocument& out);

/// The same without copies: the strings in `out` lie in `text`, which is overwritten and must stay valid.
[[nodiscard]] std::optional<JsonFault> parseJsonInSitu(std::string& text, JsonDocument& out);

/// Without blanks, members in their order. Invariant: a string has one spelling in it, whatever escapes were sent.
[[nodiscard]] std::string compactJson(const Json& value);

/// The text as a JSON string, spelled as in compactJson().
[[nodiscard]] std::string quotedJson(std::string_view text);

/// The string of a JSON string value.
[[nodiscard]] inline std::string_view textOf(const Json& text) {
    return {text.GetString(), text.GetStringLength()};
}

/// The member of that name, nullptr when there is none.
[[nodiscard]] inline const Json* memberOf(const Json& object, std::string_view name) {
    const Json key(rapidjson::StringRef(name.data(), static_cast<rapidjson::SizeType>(name.size())));
    const auto found = object.FindMember(key);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

}  // namespace beechpoint::configuration
