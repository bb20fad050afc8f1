/// IPv4 addresses in texts. The system uses no names of machines and resolves none. Pure functions.
#pragma once

#include <string_view>

namespace beechpoint::settings {

/// Four numbers from 0 to 255 with dots between them.
[[nodiscard]] bool isIpv4Address(std::string_view text);

/// ADDRESS:PORT with a port from 1 to 65535.
[[nodiscard]] bool isIpv4Endpoint(std::string_view text);

}  // namespace beechpoint::settings
