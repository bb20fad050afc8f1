// Host names as they are compared: without letter case and without the final dot of the root.
#pragma once

#include <string>
#include <string_view>

namespace beechpoint::configuration {

inline std::string comparableHost(std::string_view name) {
    if (name.size() > 1 && name.back() == '.') name.remove_suffix(1);
    std::string host{name};
    for (char& letter : host)
        if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
    return host;
}

}  // namespace beechpoint::configuration
