/// Index of a configuration's tenants by API key: an immutable snapshot, part of routing::RoutingTable. Keys are kept only as digests.
///
/// See authentication.hpp for the request header, and configuration/tenant_checks.hpp for the validation of a list of tenants.
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
    std::optional<int> priorityClass;         ///< overrides the route's
    std::vector<std::string> allowedRegions;  ///< empty: all regions
};

class TenantDirectory {
public:
    static constexpr std::size_t kMaxRevokedKeys =
        1024;  ///< limit of remembered keys; the earliest revoked are dropped first

    /// A key listed by two tenants, which a valid configuration does not contain, finds neither of them.
    /// @param previous the directory that this one replaces; null: none
    /// @param complete false: some tenants of the configuration could not be read
    explicit TenantDirectory(const std::vector<configuration::Tenant>& tenants,
                             const TenantDirectory* previous = nullptr, bool complete = true);

    /// The tenant that the key belongs to; nullptr if none.
    [[nodiscard]] std::shared_ptr<const TenantEntry> findByKey(std::string_view key) const;
    /// Whether the key belonged to a tenant in an earlier directory and belongs to none now. For logs and metrics.
    [[nodiscard]] bool wasRevoked(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return size_; }
    /// If false, a key that is not found may belong to a tenant that could not be read.
    [[nodiscard]] bool isComplete() const { return complete_; }

private:
    struct DigestHash {
        std::size_t operator()(const ApiKeyDigest& digest) const { return digest.hash(); }
    };

    void addRevokedKeys(const TenantDirectory& previous);

    std::unordered_map<ApiKeyDigest, std::shared_ptr<const TenantEntry>, DigestHash> byKey_;
    std::unordered_set<ApiKeyDigest, DigestHash> revoked_;
    std::size_t size_ = 0;
    bool complete_ = true;
};

}  // namespace beechpoint::tenants
