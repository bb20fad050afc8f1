/// The revision that a body of PUT or PATCH names, found without parsing the body: an operation that is applied already is
/// recognised by it before its body is read.
///
/// Pure functions; to be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace beechpoint::configuration {

/// A JSON number with a fraction or an exponent as a revision: an integer of at least 0, of which a double is certain to be
/// exactly what was sent. Nothing for another number.
[[nodiscard]] std::optional<std::uint64_t> integerRevision(double number);

/// Value of the first member `revision` of the body's top level, as readDocument() reads it; nothing where there is none, or
/// something else than a revision. What follows it in the body is not parsed.
[[nodiscard]] std::optional<std::uint64_t> revisionOfBody(std::string_view body);

}  // namespace beechpoint::configuration
