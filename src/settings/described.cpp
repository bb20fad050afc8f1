#include "settings/described.hpp"

#include <algorithm>
#include <cctype>

#include "settings/addresses.hpp"

namespace beechpoint::settings {
namespace {

// Whether it arrives unchanged as the value of a header field (RFC 9110, 5.5).
bool isHeaderValue(std::string_view text) {
    constexpr unsigned char kDelete = 0x7f;
    const auto isControl = [](unsigned char byte) { return byte < ' ' || byte == kDelete; };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), isControl);
}

}  // namespace

bool hasForm(std::string_view text, Form form) {
    switch (form) {
        case Form::any:
            return true;
        case Form::notEmpty:
            return !text.empty();
        case Form::headerValue:
            return isHeaderValue(text);
        case Form::ipv4Address:
            return isIpv4Address(text);
        case Form::ipv4Endpoint:
            return isIpv4Endpoint(text);
        case Form::slashed:
            return !text.empty() && text.front() == '/' && text.back() == '/';
    }
    return false;
}

std::string_view describeForm(Form form) {
    switch (form) {
        case Form::any:
            return "a text";
        case Form::notEmpty:
            return "a text of at least one character";
        case Form::headerValue:
            return "a text of at least one character, without control characters and blanks at its ends";
        case Form::ipv4Address:
            return "an IPv4 address such as 10.1.0.12";
        case Form::ipv4Endpoint:
            return "an IPv4 address and port such as 10.1.0.12:8144";
        case Form::slashed:
            return "a path that begins and ends with a slash, such as /v1/";
    }
    return "a text";
}

std::string wireName(std::string_view memberName) {
    if (memberName.ends_with('_')) memberName.remove_suffix(1);
    std::string name;
    for (const char character : memberName) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isupper(byte)) name += '_';
        name += static_cast<char>(std::tolower(byte));
    }
    return name;
}

}  // namespace beechpoint::settings
