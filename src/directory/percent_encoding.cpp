#include "directory/percent_encoding.hpp"

namespace beechpoint::directory {
namespace {

std::optional<int> hexDigit(char digit) {
    if (digit >= '0' && digit <= '9') return digit - '0';
    if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
    return std::nullopt;
}

}  // namespace

std::optional<std::string> percentDecoded(std::string_view text) {
    std::string result;
    for (std::size_t index = 0; index < text.size(); index++) {
        if (text[index] != '%') {
            result += text[index];
            continue;
        }
        if (index + 2 >= text.size()) return std::nullopt;
        const auto high = hexDigit(text[index + 1]);
        const auto low = hexDigit(text[index + 2]);
        if (!high || !low) return std::nullopt;
        result += static_cast<char>(*high * 16 + *low);
        index += 2;
    }
    return result;
}

}  // namespace beechpoint::directory
