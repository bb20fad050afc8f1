#include "tenants/authentication.hpp"

#include <algorithm>
#include <cctype>

namespace beechpoint::tenants {
namespace {

constexpr std::string_view kScheme = "bearer";
constexpr std::string_view kBlanks = " \t";

bool isBearer(std::string_view scheme) {
    const auto sameLetter = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return std::equal(scheme.begin(), scheme.end(), kScheme.begin(), kScheme.end(), sameLetter);
}

std::string_view withoutBlanks(std::string_view text) {
    const auto begin = text.find_first_not_of(kBlanks);
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

// Empty where the field's value is not of the form "Bearer KEY".
std::string_view bearerKey(std::string_view value) {
    value = withoutBlanks(value);
    const auto blank = value.find_first_of(kBlanks);
    if (blank == std::string_view::npos || !isBearer(value.substr(0, blank))) return {};
    return withoutBlanks(value.substr(blank));
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
