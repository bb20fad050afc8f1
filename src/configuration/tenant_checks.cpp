#include "configuration/tenant_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "configuration/configuration_fields.hpp"
#include "configuration/items.hpp"
#include "configuration/json_source.hpp"
#include "configuration/stored_item.hpp"

namespace beechpoint::configuration {
namespace {

using settings::FieldPath;

constexpr std::string_view kUpsertPointer = "/upsert/tenants";

// The keys and names seen so far, with the tenants that they belong to.
class TenantChecks {
public:
    explicit TenantChecks(std::vector<Error>& faults) : faults_(faults) {}

    void check(const Tenant& tenant, const std::string& pointer) {
        if (!names_.insert(tenant.name).second)
            faults_.push_back({ErrorKind::invalid, pointer + "/name",
                               fmt::format("\"{}\" is in the list twice", tenant.name),
                               "give each item its own name"});
        for (std::size_t index = 0; index < tenant.apiKeys.size(); ++index)
            checkKey(tenant, tenant.apiKeys[index], fmt::format("{}/api_keys/{}", pointer, index));
    }

private:
    void checkKey(const Tenant& tenant, const std::string& key, std::string pointer) {
        const auto [owner, isNew] = ownerByKey_.try_emplace(key, tenant.name);
        if (isNew || owner->second == tenant.name) return;
        faults_.push_back({ErrorKind::invalid, std::move(pointer),
                           fmt::format("tenants \"{}\" and \"{}\" share a key", owner->second, tenant.name),
                           "give each tenant keys of its own"});
    }

    std::vector<Error>& faults_;
    std::unordered_set<std::string> names_;
    std::unordered_map<std::string, std::string> ownerByKey_;
};

bool readList(std::string_view json, std::string_view pointer, std::vector<Error>& faults,
              JsonDocument& list) {
    if (!parseJson(json, list) && list.IsArray()) return true;
    faults.push_back({ErrorKind::invalid, std::string{pointer}, "is not a list of objects",
                      "send a list of tenants with names"});
    return false;
}

void checkEach(const JsonDocument& list, std::string_view pointer, TenantChecks& checks,
               std::vector<Error>& faults) {
    const FieldPath top{nullptr, pointer.substr(1), {}};
    for (std::size_t index = 0; index < list.Size() && faults.size() < kMaxFaults; ++index) {
        const FieldPath here{&top, {}, index};
        Tenant tenant;
        const std::size_t before = faults.size();
        readTenant(list[static_cast<rapidjson::SizeType>(index)], here, faults, tenant);
        if (faults.size() == before) checks.check(tenant, here.text<JsonSource>());
    }
}

std::unordered_set<std::string> namesIn(std::string_view json) {
    std::unordered_set<std::string> names;
    if (const auto list = parseTenants(json))
        for (const Tenant& tenant : list->tenants) names.insert(tenant.name);
    return names;
}

// Those that stay come first, so that a fault is found at a tenant that was sent.
void checkAmongOthers(std::string_view merged, std::string_view sent, std::vector<Error>& faults) {
    JsonDocument list;
    if (!readList(sent, kUpsertPointer, faults, list)) return;
    TenantChecks checks{faults};
    const std::unordered_set<std::string> names = namesIn(sent);
    if (const auto all = parseTenants(merged))
        for (const Tenant& tenant : all->tenants)
            if (!names.contains(tenant.name)) checks.check(tenant, std::string{kUpsertPointer});
    checkEach(list, kUpsertPointer, checks, faults);
}

}  // namespace

void checkTenants(std::string_view json, std::string_view pointer, std::vector<Error>& faults) {
    JsonDocument list;
    if (!readList(json, pointer, faults, list)) return;
    TenantChecks checks{faults};
    checkEach(list, pointer, checks, faults);
}

void checkChangedTenants(const std::vector<Change>& changes, const std::vector<OtherMember>& sent,
                         std::vector<Error>& faults) {
    const auto change = std::find_if(changes.begin(), changes.end(),
                                     [](const Change& one) { return one.key == kTenantsKey; });
    if (change == changes.end()) return;
    const std::optional<std::string>& merged = change->value;
    if (!merged) return;
    const auto member = std::find_if(sent.begin(), sent.end(),
                                     [](const OtherMember& one) { return one.name == kTenantsMember; });
    if (member == sent.end())
        checkTenants(*merged, kUpsertPointer, faults);
    else
        checkAmongOthers(*merged, member->json, faults);
}

}  // namespace beechpoint::configuration
