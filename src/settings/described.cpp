#include "settings/described.hpp"

#include <cctype>

#include "settings/addresses.hpp"

namespace beechpoint::settings {

bool hasForm(std::string_view text, Form form) {
    switch (form) {
        case Form::any:
            return true;
        case Form::notEmpty:
            return !text.empty();
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
    std::string name;
    for (const char character : memberName) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isupper(byte)) name += '_';
        name += static_cast<char>(std::tolower(byte));
    }
    return name;
}

}  // namespace beechpoint::settings
