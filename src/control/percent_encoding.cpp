#include "control/percent_encoding.hpp"

namespace beechpoint::control {
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
    for (std::size_t at = 0; at < text.size(); at++) {
        if (text[at] != '%') {
            result += text[at];
            continue;
        }
        if (at + 2 >= text.size()) return std::nullopt;
        const auto high = hexDigit(text[at + 1]);
        const auto low = hexDigit(text[at + 2]);
        if (!high || !low) return std::nullopt;
        result += static_cast<char>(*high * 16 + *low);
        at += 2;
    }
    return result;
}

}  // namespace beechpoint::control
