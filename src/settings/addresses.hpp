// IPv4 addresses in texts. The system knows no names of machines and looks none up.
#pragma once

#include <string_view>

namespace beechpoint::settings {

// Four numbers from 0 to 255 with dots between them.
bool isIpv4Address(std::string_view text);

// ADDRESS:PORT with a port from 1 to 65535.
bool isIpv4Endpoint(std::string_view text);

}  // namespace beechpoint::settings
