#include "tenants/tenant_directory.hpp"

namespace beechpoint::tenants {

TenantDirectory::TenantDirectory(const std::vector<configuration::Tenant>& tenants,
                                 const TenantDirectory* previous, bool complete)
    : size_(tenants.size()), complete_(complete) {
    for (const configuration::Tenant& tenant : tenants) {
        const auto entry = std::make_shared<const TenantEntry>(
            TenantEntry{tenant.name, tenant.priorityClass, tenant.allowedRegions});
        for (const std::string& key : tenant.apiKeys) {
            const auto [known, isNew] = byKey_.try_emplace(ApiKeyDigest::of(key), entry);
            if (!isNew && known->second != entry) known->second = nullptr;
        }
    }
    if (previous) addRevokedKeys(*previous);
}

void TenantDirectory::addRevokedKeys(const TenantDirectory& previous) {
    const auto addRevoked = [this](const ApiKeyDigest& key) {
        if (revoked_.size() < kMaxRevokedKeys && !byKey_.contains(key)) revoked_.insert(key);
    };
    for (const auto& [key, holder] : previous.byKey_) addRevoked(key);
    for (const ApiKeyDigest& key : previous.revoked_) addRevoked(key);
}

bool TenantDirectory::wasRevoked(std::string_view key) const {
    return !revoked_.empty() && revoked_.contains(ApiKeyDigest::of(key));
}

std::shared_ptr<const TenantEntry> TenantDirectory::findByKey(std::string_view key) const {
    const auto found = byKey_.find(ApiKeyDigest::of(key));
    return found == byKey_.end() ? nullptr : found->second;
}

}  // namespace beechpoint::tenants
