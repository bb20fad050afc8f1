/// Percent-encoding of paths and queries (RFC 3986, 2.1).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::directory {

/// The decoded text. Nothing: an escape is not % and two hexadecimal digits. A plus sign stays as it is.
[[nodiscard]] std::optional<std::string> percentDecoded(std::string_view text);

}  // namespace beechpoint::directory
