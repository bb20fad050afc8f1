/// Reading of single items from parsed JSON, for the parts of this library. Pure functions.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "configuration/configuration.hpp"
#include "configuration/json_source.hpp"
#include "settings/described.hpp"

namespace beechpoint::configuration {

/// The type of that name; an unknown one is read as nonIdempotent, so that nothing is sent twice. Found by
/// settings::DescribedReader.
void parseName(std::string_view name, RouteType& out);

/// Read one item and add its faults, whose locations begin with `path`, the item's own.
void readRoute(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Route& out);
void readService(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Service& out);
void readLimits(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Limits& out);
void readTenant(const Json& json, const settings::FieldPath& path, std::vector<Error>& faults, Tenant& out);

}  // namespace beechpoint::configuration
