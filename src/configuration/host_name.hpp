/// Host names as they are compared: without letter case and without the final dot of the root (RFC 9110, 4.2.3; RFC 1034, 3.1).
#pragma once

#include <string>
#include <string_view>

namespace beechpoint::configuration {

/// Equal for two names exactly when they name the same host.
[[nodiscard]] inline std::string comparableHost(std::string_view name) {
    if (name.size() > 1 && name.back() == '.') name.remove_suffix(1);
    std::string host{name};
    for (char& character : host)
        if (character >= 'A' && character <= 'Z') character = static_cast<char>(character - 'A' + 'a');
    return host;
}

}  // namespace beechpoint::configuration
