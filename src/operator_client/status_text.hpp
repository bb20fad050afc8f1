// What a control member says of itself (GET /status), as lines for people.
#pragma once

#include <string>
#include <string_view>

#include "core/result.hpp"

namespace beechpoint::operator_client {

// Error (invalid): `body` is no such answer.
Result<std::string> renderStatusText(std::string_view body);

// What an error answer of control says: place, message and remedy; the body itself where it has another form.
std::string describeRefusal(std::string_view body);

}  // namespace beechpoint::operator_client
