/// How one named item of the configuration is stored in the replicated table: "ORDER JSON". ORDER is a decimal
/// number that rises along the operator's list, with gaps, so that a change of one item changes one value.
///
/// Keys, besides those in core/replicated_table.hpp:
///   member/NAME   a member of the configuration that this program does not know, as sent
///
/// Keys and values are on disk and on the wire between members.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechpoint::configuration {

inline constexpr std::string_view kVersionKey = "meta/version";
inline constexpr std::string_view kRoutePrefix = "route/";
inline constexpr std::string_view kServicePrefix = "service/";
inline constexpr std::string_view kLimitsKey = "limits";
inline constexpr std::string_view kEvacuatedPrefix = "evacuated/";
inline constexpr std::string_view kAppliedPrefix = "taken/";
inline constexpr std::string_view kAppliedCountKey = "meta/taken";
inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kTenantsKey =
    "member/tenants";  ///< the list as sent: kept like a member that is not known

struct StoredItem {
    std::uint64_t order = 0;
    std::string_view json;  ///< a view into the value that was parsed
};

/// Nothing when the value is not of this form.
[[nodiscard]] std::optional<StoredItem> parseStoredItem(std::string_view value);
[[nodiscard]] std::string formatStoredItem(std::uint64_t order, std::string_view json);

}  // namespace beechpoint::configuration
