/// Whether bytes are UTF-8 (RFC 3629). Pure function.
#pragma once

#include <string_view>

namespace beechpoint::net {

/// False for overlong forms, surrogates, code points above U+10FFFF and sequences that are cut.
[[nodiscard]] bool isUtf8(std::string_view bytes);

}  // namespace beechpoint::net
