/// What control members answer, as text for people. Pure functions.
#pragma once

#include <string>
#include <string_view>

#include "core/result.hpp"

namespace beechpoint::operator_client {

/// The answer to GET /status as lines. Error (invalid): `body` is no such answer.
[[nodiscard]] Result<std::string> renderStatusText(std::string_view body);

/// The duties in the answer to GET /status, a line each. Error (invalid): `body` is no such answer.
[[nodiscard]] Result<std::string> renderDutiesText(std::string_view body);

/// What an error answer says: location, message and remedy; the body itself where it has another form.
[[nodiscard]] std::string describeRefusal(std::string_view body);

}  // namespace beechpoint::operator_client
