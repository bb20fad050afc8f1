#include "configuration/json_text.hpp"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace beechpoint::configuration {
namespace {

constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;
constexpr unsigned kValidatingFlags = kParseFlags | rapidjson::kParseValidateEncodingFlag;

// A text of ASCII alone needs no check of its encoding, which is a large part of the parser's work.
bool isAscii(std::string_view text) {
    unsigned char all = 0;
    for (const char byte : text) all |= static_cast<unsigned char>(byte);
    return all < 0x80;
}

// RapidJSON takes a zero byte for the end of the text.
std::optional<JsonFault> findZeroByte(std::string_view text) {
    const std::size_t zero = text.find('\0');
    if (zero == std::string_view::npos) return std::nullopt;
    return JsonFault{zero, "there is a zero byte"};
}

bool nestsDeeper(const Json& value, std::size_t levels) {
    if (!value.IsObject() && !value.IsArray()) return false;
    if (levels == 0) return true;
    if (value.IsArray()) {
        for (const Json& element : value.GetArray())
            if (nestsDeeper(element, levels - 1)) return true;
        return false;
    }
    for (const auto& member : value.GetObject())
        if (nestsDeeper(member.value, levels - 1)) return true;
    return false;
}

std::optional<JsonFault> checkParsed(const JsonDocument& parsed) {
    if (parsed.HasParseError())
        return JsonFault{parsed.GetErrorOffset(), rapidjson::GetParseError_En(parsed.GetParseError())};
    if (nestsDeeper(parsed, kMaxNesting)) return JsonFault{0, "it nests too deep"};
    return std::nullopt;
}

}  // namespace

std::optional<JsonFault> parseJson(std::string_view text, JsonDocument& out) {
    if (auto zero = findZeroByte(text)) return zero;
    out.Parse<kValidatingFlags>(text.data(), text.size());
    return checkParsed(out);
}

std::optional<JsonFault> parseJsonInSitu(std::string& text, JsonDocument& out) {
    if (auto zero = findZeroByte(text)) return zero;
    if (isAscii(text))
        out.ParseInsitu<kParseFlags>(text.data());
    else
        out.ParseInsitu<kValidatingFlags>(text.data());
    return checkParsed(out);
}

std::string compactJson(const Json& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer{buffer};
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

std::string quotedJson(std::string_view text) {
    return compactJson(
        Json(rapidjson::StringRef(text.data(), static_cast<rapidjson::SizeType>(text.size()))));
}

}  // namespace beechpoint::configuration
