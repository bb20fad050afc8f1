/// Rules on the tenants of a configuration: each can be read, names are used once, and no key belongs to two tenants. No error quotes a key.
///
/// Pure functions; to be called from any thread.
#pragma once

#include <string_view>
#include <vector>

#include "configuration/document.hpp"
#include "core/replicated_table.hpp"

namespace beechpoint::configuration {

/// Name of the member of a configuration that lists the tenants.
inline constexpr std::string_view kTenantsMember = "tenants";

/// Adds the faults of a list of tenants.
/// @param json the list, as it is to be stored
/// @param pointer JSON pointer (RFC 6901) of the list in the body that was sent
void checkTenants(std::string_view json, std::string_view pointer, std::vector<Error>& faults);

/// Checks the list of tenants among the changes that a PATCH makes, if it makes any.
/// @param sent members that the PATCH adds or replaces: their items are where faults are found
void checkChangedTenants(const std::vector<Change>& changes, const std::vector<OtherMember>& sent,
                         std::vector<Error>& faults);

}  // namespace beechpoint::configuration
