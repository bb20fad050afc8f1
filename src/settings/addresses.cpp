#include "settings/addresses.hpp"

#include <charconv>
#include <cstddef>

namespace beechpoint::settings {
namespace {

bool isNumber(std::string_view digits, int least, int most) {
    int value = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, value);
    const bool digitFirst = !digits.empty() && digits.front() != '-';
    return digitFirst && error == std::errc{} && stop == end && value >= least && value <= most;
}

}  // namespace

bool isIpv4Address(std::string_view text) {
    constexpr int kParts = 4;
    for (int part = 1; part < kParts; ++part) {
        const std::size_t dot = text.find('.');
        if (dot == std::string_view::npos || !isNumber(text.substr(0, dot), 0, 255)) return false;
        text.remove_prefix(dot + 1);
    }
    return isNumber(text, 0, 255);
}

bool isIpv4Endpoint(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) return false;
    return isIpv4Address(text.substr(0, colon)) && isNumber(text.substr(colon + 1), 1, 65535);
}

}  // namespace beechpoint::settings
