/// Authenticates a request by its API key (`Authorization: Bearer KEY`, RFC 6750). Pure functions.
///
///   configuration    | route      | key of the request                       | outcome
///   without tenants  | any        | any                                      | unrestricted
///   with tenants     | any        | a key of a tenant                        | tenant
///   with tenants     | public     | none, or not a tenant's key              | anonymous
///   with tenants     | not public | none, several, or not of the Bearer form | missingKey
///   with tenants     | not public | a former key of a tenant                 | revokedKey
///   with tenants     | not public | any other key                            | unknownKey
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "tenants/tenant_directory.hpp"

namespace beechpoint::tenants {

enum class AuthenticationOutcome { unrestricted, anonymous, tenant, missingKey, revokedKey, unknownKey };
inline constexpr std::size_t kAuthenticationOutcomeCount = 6;

struct Authentication {
    AuthenticationOutcome outcome = AuthenticationOutcome::missingKey;
    std::shared_ptr<const TenantEntry> tenant;  ///< set if the outcome is tenant

    /// Whether the request may be served.
    [[nodiscard]] bool isAccepted() const {
        return outcome == AuthenticationOutcome::unrestricted ||
               outcome == AuthenticationOutcome::anonymous || outcome == AuthenticationOutcome::tenant;
    }
};

/// @param directory null: the configuration has no tenants
/// @param authorization values of the request's Authorization header fields
[[nodiscard]] Authentication authenticate(const TenantDirectory* directory, bool isPublicRoute,
                                          const std::vector<std::string_view>& authorization);

/// Stable name for logs and metrics.
[[nodiscard]] std::string_view nameOf(AuthenticationOutcome outcome);

}  // namespace beechpoint::tenants
