/// The tenants of a configuration by API key: an immutable snapshot, a part of routing::RoutingTable. Keys are kept as digests only.
///
/// Not here: the request's header (authentication.hpp), and the rules on a list of tenants (configuration/tenant_checks.hpp).
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "configuration/configuration.hpp"
#include "tenants/api_key_digest.hpp"

namespace beechpoint::tenants {

/// A tenant without its keys.
struct TenantEntry {
    std::string name;
    std::optional<int> priorityClass;         ///< in place of the route's
    std::vector<std::string> allowedRegions;  ///< empty: all
};

class TenantDirectory {
public:
    static constexpr std::size_t kMaxRevokedKeys =
        1024;  ///< remembered; those that were revoked before are forgotten first

    /// Of a key that two tenants list, which a valid configuration does not have, neither is found.
    /// @param previous the directory that this one takes the place of; null: none
    /// @param complete false: some tenants of the configuration could not be read
    explicit TenantDirectory(const std::vector<configuration::Tenant>& tenants,
                             const TenantDirectory* previous = nullptr, bool complete = true);

    /// The tenant that holds the key; nullptr where none does.
    [[nodiscard]] std::shared_ptr<const TenantEntry> findByKey(std::string_view key) const;
    /// Whether the key belonged to an earlier directory and belongs to none of the tenants now. For logs and metrics.
    [[nodiscard]] bool wasRevoked(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    /// False: a key that is not found may be that of a tenant which could not be read.
    [[nodiscard]] bool isComplete() const { return complete_; }

private:
    struct DigestHash {
        std::size_t operator()(const ApiKeyDigest& digest) const { return digest.hash(); }
    };

    void rememberRevoked(const TenantDirectory& previous);

    std::unordered_map<ApiKeyDigest, std::shared_ptr<const TenantEntry>, DigestHash> byKey_;
    std::unordered_set<ApiKeyDigest, DigestHash> revoked_;
    std::size_t size_ = 0;
    bool complete_ = true;
};

}  // namespace beechpoint::tenants
