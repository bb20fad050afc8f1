/// The subject of a singleton duty: the unit that has one holder at a time and for which the platform compares fencing tokens.
#pragma once

#include <compare>
#include <string>

namespace beechpoint::duties {

enum class Duty {
    usage,    ///< reports of the tenants' usage; a single subject for all windows
    scaling,  ///< orders of hosts; one subject per service and zone
};

struct Subject {
    Duty duty = Duty::usage;
    std::string service;  ///< for Duty::scaling; otherwise empty
    std::string zone;     ///< for Duty::scaling; otherwise empty

    auto operator<=>(const Subject&) const = default;
};

/// Unique text of the subject, used in keys of the replicated table and as the input of the rendezvous hash.
///
///   usage
///   scaling/SERVICE/ZONE   with '%' and '/' in names escaped as %25 and %2F
[[nodiscard]] std::string keyOf(const Subject& subject);

}  // namespace beechpoint::duties
