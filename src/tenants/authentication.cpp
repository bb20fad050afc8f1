#include "tenants/authentication.hpp"

#include <algorithm>
#include <cctype>

namespace beechpoint::tenants {
namespace {

constexpr std::string_view kScheme = "bearer";
constexpr std::string_view kWhitespace = " \t";

bool isBearer(std::string_view scheme) {
    const auto equalsIgnoringCase = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return std::equal(scheme.begin(), scheme.end(), kScheme.begin(), kScheme.end(), equalsIgnoringCase);
}

std::string_view trimmed(std::string_view text) {
    const auto begin = text.find_first_not_of(kWhitespace);
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(kWhitespace) + 1 - begin);
}

// The key; empty if the field's value does not have the form "Bearer KEY".
std::string_view bearerKey(std::string_view value) {
    value = trimmed(value);
    const auto separator = value.find_first_of(kWhitespace);
    if (separator == std::string_view::npos || !isBearer(value.substr(0, separator))) return {};
    return trimmed(value.substr(separator));
}

}  // namespace

Authentication authenticate(const TenantDirectory* directory, bool isPublicRoute,
                            const std::vector<std::string_view>& authorization) {
    if (!directory) return {AuthenticationOutcome::unrestricted, nullptr};
    const std::string_view key =
        authorization.size() == 1 ? bearerKey(authorization.front()) : std::string_view{};
    if (!key.empty())
        if (auto tenant = directory->findByKey(key))
            return {AuthenticationOutcome::tenant, std::move(tenant)};
    if (isPublicRoute) return {AuthenticationOutcome::anonymous, nullptr};
    if (key.empty()) return {AuthenticationOutcome::missingKey, nullptr};
    const bool wasRevoked = directory->wasRevoked(key);
    return {wasRevoked ? AuthenticationOutcome::revokedKey : AuthenticationOutcome::unknownKey, nullptr};
}

std::string_view nameOf(AuthenticationOutcome outcome) {
    switch (outcome) {
        case AuthenticationOutcome::unrestricted:
            return "unrestricted";
        case AuthenticationOutcome::anonymous:
            return "anonymous";
        case AuthenticationOutcome::tenant:
            return "tenant";
        case AuthenticationOutcome::missingKey:
            return "missing_key";
        case AuthenticationOutcome::revokedKey:
            return "revoked_key";
        case AuthenticationOutcome::unknownKey:
            return "unknown_key";
    }
    return "";
}

}  // namespace beechpoint::tenants
