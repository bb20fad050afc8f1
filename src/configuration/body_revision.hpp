// The revision that a body of PUT or PATCH names, before the body is read whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace beechpoint::configuration {

// A JSON number as a revision: whole, not below 0, and exactly what was meant. Nothing for another one.
std::optional<std::uint64_t> wholeRevision(double number);

// Of the first member `revision` of the body's top level, as readDocument() reads it; nothing where there is none, or something else
// than a revision. The rest of the body is not looked at.
std::optional<std::uint64_t> revisionOfBody(std::string_view body);

}  // namespace beechpoint::configuration
