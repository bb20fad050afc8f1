/// Addresses of own processes. A pure function.
#pragma once

#include <string>

#include "core/result.hpp"

namespace beechpoint::rpc {

/// nng's URL of "ip:port" with an IPv4 address; an error of kind `invalid` for anything else.
[[nodiscard]] Result<std::string> urlOf(const std::string& address);

}  // namespace beechpoint::rpc
