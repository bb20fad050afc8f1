#include "settings/addresses.hpp"

#include <charconv>
#include <cstddef>

namespace beechpoint::settings {
namespace {

constexpr int kMaxByte = 255;
constexpr int kMaxPort = 65535;

bool isNumberBetween(std::string_view digits, int least, int most) {
    int value = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, value);
    const bool beginsWithDigit = !digits.empty() && digits.front() != '-';
    return beginsWithDigit && error == std::errc{} && stop == end && value >= least && value <= most;
}

}  // namespace

bool isIpv4Address(std::string_view text) {
    constexpr int kNumbers = 4;
    for (int number = 1; number < kNumbers; ++number) {
        const std::size_t dot = text.find('.');
        if (dot == std::string_view::npos || !isNumberBetween(text.substr(0, dot), 0, kMaxByte)) return false;
        text.remove_prefix(dot + 1);
    }
    return isNumberBetween(text, 0, kMaxByte);
}

bool isIpv4Endpoint(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) return false;
    return isIpv4Address(text.substr(0, colon)) && isNumberBetween(text.substr(colon + 1), 1, kMaxPort);
}

}  // namespace beechpoint::settings
