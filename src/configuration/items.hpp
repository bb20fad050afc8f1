// Reading of single items from parsed JSON, for the parts of this library.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "configuration/json_source.hpp"
#include "settings/described.hpp"

namespace beechpoint::configuration {

// The type of that name; types that are not known are taken with the care of the strictest.
void parseName(std::string_view name, RouteType& out);

// Faults carry the place of the item as the beginning of theirs.
void readRoute(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Route& out);
void readService(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Service& out);
void readLimits(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Limits& out);

}  // namespace beechpoint::configuration
