// Percent-encoding in paths and queries.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::control {

// Nothing where an escape is broken.
std::optional<std::string> percentDecoded(std::string_view text);

}  // namespace beechpoint::control
